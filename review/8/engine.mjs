/* eslint-disable n/no-process-exit -- it ends itself as a server that has left does */

/**
 * A model server, as a process of its own, whose streams have neither a length nor chunks: they end with their
 * connection. Told that its time is over, it takes no more connections, lets what runs end, and exits.
 */

import { createServer } from 'node:http';

const [, , id, host, stage, born] = process.argv;
const EVENTS = 70;
const EVENT_INTERVAL_MS = 90;
let running = 0;
let isLeaving = false;

function exitIfDone() {
  if (isLeaving && running === 0) process.send({ kind: 'exits' }, () => process.exit(0));
}

function stream(requestId, socket) {
  running += 1;
  process.send({ kind: 'runs', requestId });
  const head = [
    'HTTP/1.1 200 OK',
    `Request-Id: ${requestId}`,
    `Server-Stamp: stamp-${id}-${requestId}`,
    'Content-Type: text/event-stream',
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    socket.write(`id: ${sent}\ndata: ${'x'.repeat(40)}\n\n`);
    if (sent === EVENTS) {
      clearInterval(timer);
      socket.end();
    }
  }, EVENT_INTERVAL_MS);
  socket.on('error', () => undefined);
  socket.on('close', () => {
    clearInterval(timer);
    running -= 1;
    process.send({ kind: sent === EVENTS ? 'whole' : 'broken off by the caller', requestId });
    exitIfDone();
  });
}

const server = createServer((incoming, response) => {
  const { headers, url, socket } = incoming;
  const { 'request-id': requestId, 'expect-instance': expected } = headers;
  incoming.resume();
  incoming.on('end', () => {
    const isPrefill = headers['serving-stage'] === 'prefill';
    const isOther = expected !== undefined && expected !== id;
    if (url === '/api/report' && !isOther) {
      response.setHeader('Content-Type', 'application/json');
      const report = { stage, busy: false, sequence: 0, born: Number(born) };
      response.end(JSON.stringify(report));
    } else if (isOther || isPrefill !== (stage === 'prefill')) {
      response.writeHead(421, { 'Request-Id': requestId ?? '', 'Not-Executed': '1' });
      response.end();
    } else if (isPrefill) {
      response.writeHead(200, { 'Request-Id': requestId, 'Content-Type': 'application/json' });
      response.end(JSON.stringify({ kvHandle: `kv${requestId}`, tokens: 100, version: 1 }));
    } else stream(requestId, socket);
  });
});

server.listen(0, host, () => process.send({ kind: 'listens', port: server.address().port }));
process.on('message', () => {
  isLeaving = true;
  server.close();
  exitIfDone();
});
process.on('disconnect', () => process.exit(0));
