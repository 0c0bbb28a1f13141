/* eslint-disable import-x/extensions, no-restricted-syntax -- as the project's own sources, which are .ts files */

/** A daemon is killed in the middle of streams that end with their connection. */

import { createServer } from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  callRaw,
  findFraming,
  listen,
  makeRecord,
  pause,
  runCase,
  startDaemons,
  startStore,
} from '../kit-2.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const STREAMS = 6;
const EVENTS = 70;
const EVENT_INTERVAL_MS = 30;

const record = makeRecord(join(FOLDER, 'record.txt'));

/** An engine whose streams have no length and no chunks: they end with their connection. */
function startEngine(id, stage) {
  const server = createServer((incoming, response) => {
    const { headers, url, socket } = incoming;
    const { 'request-id': requestId, 'expect-instance': expected } = headers;
    incoming.resume();
    incoming.on('end', () => {
      if (url === '/api/report') {
        response.setHeader('Content-Type', 'application/json');
        response.end(JSON.stringify({ stage, busy: false, sequence: 0, born: 1 }));
        return;
      }
      const isPrefill = headers['serving-stage'] === 'prefill';
      const isWrongStage = isPrefill !== (stage === 'prefill');
      if ((expected !== undefined && expected !== id) || isWrongStage) {
        response.writeHead(421, { 'Request-Id': requestId, 'Not-Executed': '1' });
        response.end();
        return;
      }
      if (isPrefill) {
        record(`engine ${id}: prefills ${requestId}`);
        response.writeHead(200, { 'Request-Id': requestId, 'Content-Type': 'application/json' });
        response.end(JSON.stringify({ kvHandle: `kv${requestId}`, tokens: 100, version: 1 }));
        return;
      }
      record(`engine ${id}: runs ${requestId}`);
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
        if (sent < EVENTS) return;
        clearInterval(timer);
        record(`engine ${id}: whole ${requestId}`);
        socket.end();
      }, EVENT_INTERVAL_MS);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        clearInterval(timer);
        record(`engine ${id}: ${requestId} closed after ${sent} events`);
      });
    });
  });
  return listen(server).then((address) => ({ server, address }));
}

await runCase(record, async () => {
  const site = await startStore();
  const engines = [];
  let daemons;
  try {
    for (const [id, stage] of [
      ['i-engine-1', 'prefill'],
      ['i-engine-2', 'decode'],
      ['i-engine-3', 'decode'],
    ]) {
      // eslint-disable-next-line no-await-in-loop -- three listeners
      const { server, address } = await startEngine(id, stage);
      engines.push(server);
      site.addServer(id, { service: 'llm', zone: 'negombo', born: 1, stage, address });
    }
    daemons = await startDaemons(9, site.address, record);
    const [victim] = daemons.daemons;
    const streams = Array.from({ length: STREAMS }, async (_value, index) => {
      const id = `s${index}`;
      record(`caller: POST /note/${index} ${id} sent to ${victim.name}`);
      const answer = await callRaw(victim.port, {
        path: `/note/${index}`,
        id,
        headers: {
          'Deadline-Ms': '14000',
          Model: 'm',
          'Token-Count': `100,${EVENTS}`,
          'Prompt-Prefix': `a${index}:50,b${index}:50`,
        },
        body: '{"note":1}',
      });
      const { status, head, body, end } = answer;
      const events = body.split('\n\n').length - 1;
      const framing = findFraming(head);
      record(`caller: ${id} got ${status}, ${events} events, framing ${framing}, ${end}`);
      return { ...answer, events, framing };
    });
    await pause(1_200);
    if (HAS_TROUBLE) {
      victim.child.kill('SIGKILL');
      record(`${victim.name} is killed`);
    }
    const ended = await Promise.all(streams);
    const cut = ended.filter(
      ({ status, head, framing, end, events }) =>
        status === 200 &&
        /^server-stamp:/imu.test(head) &&
        framing === 'connection' &&
        end === 'closed' &&
        events < EVENTS,
    );
    const whole = ended.filter(({ events }) => events === EVENTS).length;
    record(`${STREAMS} streams, ${whole} whole, ${cut.length} cut that look complete`);
    if (!HAS_TROUBLE && whole !== STREAMS) throw new Error('not all streams are whole');
    return cut.length > 0;
  } finally {
    await daemons?.stop();
    for (const server of engines) {
      server.closeAllConnections();
      server.close();
    }
    site.stop();
  }
});
