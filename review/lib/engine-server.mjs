/**
 * Stand-in of a model server, as PROTOCOL.md describes one ("Prefill and decode", "Requests"): it reads
 * prompts apart and keeps handles for a while, streams events with increasing ids, goes on after
 * Last-Event-Id, checks Expect-Instance and its stage, runs `slots` requests at once and refuses more.
 */
/* eslint no-restricted-syntax: off -- the project's own style: early exits, awaits one after the other, state changed in place */

import { createServer } from 'node:http';

const HANDLE_TTL_MS = 500;
const SWITCH_MS = 6_000;
const ORDER_CHECK_MS = 100;

/**
 * Makes a server; `spoilHead` may replace the head of a stream's answer, and a deadly request crashes the
 * server at its first token.
 */
export function makeEngineServer({
  name,
  stage,
  slots = 12,
  queue = 2,
  prefillMs = 90,
  eventMs = 10,
  firstEventMs = 20,
  countEvents,
  spoilHead = (head) => head,
  isDeadly = () => false,
  record,
}) {
  const server = createServer();
  const sockets = new Set();
  const handles = new Map();
  const running = new Set();
  let handleCount = 0;
  let orderCount = 0;
  let isBusy = false;
  const self = { name, server, born: Date.now(), isUp: false, port: 0, onCrash: () => undefined };

  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });

  function refuse(response, requestId, status) {
    response.writeHead(status, {
      'Request-Id': requestId,
      'Not-Executed': '1',
      'Content-Length': 0,
    });
    response.end();
  }

  function answerJson(response, requestId, value) {
    const body = JSON.stringify(value);
    response.writeHead(200, {
      ...(requestId === '' ? {} : { 'Request-Id': requestId }),
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  function prefill(requestId, response) {
    const job = { requestId };
    running.add(job);
    const timer = setTimeout(() => {
      running.delete(job);
      handleCount += 1;
      const kvHandle = `${name}h${handleCount}`;
      handles.set(kvHandle, requestId);
      setTimeout(() => handles.delete(kvHandle), HANDLE_TTL_MS).unref();
      answerJson(response, requestId, { kvHandle, tokens: 100, version: 1 });
    }, prefillMs);
    response.on('close', () => {
      clearTimeout(timer);
      running.delete(job);
    });
  }

  /** Streams events in chunks, written by hand so that the head can be spoiled. */
  function decode(incoming, requestId) {
    const { socket } = incoming;
    const job = { requestId };
    running.add(job);
    record('run', { server: name, requestId, method: incoming.method, path: incoming.url });
    let id = Number(incoming.headers['last-event-id'] ?? 0);
    const last = countEvents(incoming);
    const head = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${requestId}`,
      `Server-Stamp: ${name}.${requestId}`,
      'Content-Type: text/event-stream',
      'Weight-Versions: 1',
      'Connection: close',
      'Transfer-Encoding: chunked',
    ].join('\r\n');
    const chunk = (text) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
    let timer;
    const finish = () => {
      clearTimeout(timer);
      running.delete(job);
    };
    socket.once('close', finish);
    const sendNext = () => {
      if (socket.destroyed) return;
      if (id >= last) {
        socket.end('0\r\n\r\n');
        record('done', { server: name, requestId });
        finish();
        return;
      }
      id += 1;
      socket.write(chunk(`id: ${id}\ndata: part ${id} of ${requestId}\n\n`));
      timer = setTimeout(sendNext, eventMs);
    };
    timer = setTimeout(() => {
      if (socket.destroyed) return;
      if (isDeadly(incoming)) {
        self.crash(requestId);
        return;
      }
      socket.write(`${spoilHead(head, requestId)}\r\n\r\n`);
      sendNext();
    }, firstEventMs);
  }

  /** Changes the stage a while after an order, once running work has ended. */
  function changeStage(next) {
    if (running.size > 0) {
      setTimeout(changeStage, ORDER_CHECK_MS, next).unref();
      return;
    }
    setTimeout(() => {
      isBusy = false;
      self.entry.stage = next;
      self.onStageChanged(self);
    }, SWITCH_MS).unref();
  }

  function takeOrder(response, { op, stage: wanted, expected }) {
    const isKnown = op === 'stage' && (wanted === 'prefill' || wanted === 'decode');
    const isRefused = isBusy || (expected !== undefined && expected !== orderCount);
    let status = 202;
    if (!isKnown) status = 400;
    else if (isRefused) status = 409;
    else if (wanted === self.entry.stage) status = 200;
    record('order', { server: name, wanted, status });
    if (status === 202) {
      isBusy = true;
      orderCount += 1;
      changeStage(wanted);
    }
    response.writeHead(status, { 'Content-Length': 0 });
    response.end();
  }

  function handle(incoming, response, body) {
    const { headers, url } = incoming;
    const { stage: ownStage } = self.entry;
    const requestId = String(headers['request-id'] ?? '');
    const expected = headers['expect-instance'];
    const source = headers['kv-source'];
    if (url === '/api/report') {
      const report = {
        stage: ownStage,
        models: [],
        busy: isBusy,
        sequence: orderCount,
        waiting: 0,
      };
      answerJson(response, '', { ...report, running: running.size, kvUsed: 0, kvTotal: 144_611 });
    } else if (expected !== undefined && expected !== name) refuse(response, requestId, 421);
    else if (url === '/api/order') takeOrder(response, JSON.parse(body));
    else if (isBusy) refuse(response, requestId, 503);
    else if (running.size >= slots + queue) refuse(response, requestId, 503);
    else if (headers['serving-stage'] === 'prefill') {
      if (ownStage === 'prefill') prefill(requestId, response);
      else refuse(response, requestId, 421);
    } else if (ownStage !== 'decode') refuse(response, requestId, 421);
    else if (source !== undefined && !self.takeHandle(source)) refuse(response, requestId, 503);
    else decode(incoming, requestId);
  }

  server.on('request', (incoming, response) => {
    let body = '';
    incoming.on('data', (part) => {
      body += String(part);
    });
    incoming.on('end', () => handle(incoming, response, body));
  });

  return Object.assign(self, {
    entry: { service: 'llm', stage, slots },
    onStageChanged: () => undefined,
    /** Finds and takes the memory that a handle names; the site sets it for all its engines. */
    takeHandle: () => true,
    /** Takes a handle of this server; each can be taken once. */
    giveHandle: (kvHandle) => handles.delete(kvHandle),
    listRunning: () => [...running].map(({ requestId }) => requestId),
    start: (host) =>
      new Promise((resolve) => {
        server.listen(self.port, host, () => {
          self.port = server.address().port;
          self.born = Date.now();
          self.isUp = true;
          record('server-up', { server: name });
          resolve(self);
        });
      }),
    /** Ends at once: every connection is reset, and handles are gone. */
    crash: (requestId) => {
      if (!self.isUp) return;
      self.isUp = false;
      record('server-crashed', { server: name, by: requestId, running: self.listRunning() });
      running.clear();
      handles.clear();
      isBusy = false;
      orderCount = 0;
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
      self.onCrash(self);
    },
    /** Ends: nothing listens any more, and every connection is closed. */
    stop: () => {
      self.isUp = false;
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  });
}

/** Lets each engine fetch memory from the others by `IP:PORT/HANDLE`. */
export function linkEngines(engines, host) {
  for (const engine of engines) {
    engine.takeHandle = (source) => {
      const [address, kvHandle] = source.split('/');
      const from = engines.find(({ port, isUp }) => isUp && `${host}:${port}` === address);
      return from?.giveHandle(kvHandle) ?? false;
    };
  }
}
