/**
 * Stand-in of a server of a plain service, as PROTOCOL.md describes one ("Servers"): it checks
 * Expect-Instance, runs `slots` requests at once, queues a few, refuses more with Not-Executed, signs
 * what it ran, drops a request whose connection closes, and may be crashed by a request.
 */
/* eslint import-x/prefer-default-export: off, no-param-reassign: off, no-restricted-syntax: off, no-use-before-define: off -- the project's own style: early exits, awaits one after the other, state changed in place */

import { createServer } from 'node:http';

/** Makes a server; `record` is called with each thing that happens at it. */
export function makeLedgerServer({ name, slots = 6, queue = 24, workMs, isDeadly, record }) {
  const server = createServer();
  const sockets = new Set();
  const waiting = [];
  const running = new Set();
  const self = { name, server, born: Date.now(), isUp: false, port: 0, onCrash: () => undefined };

  server.on('connection', (socket) => {
    sockets.add(socket);
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

  function startNext() {
    while (running.size < slots && waiting.length > 0) {
      const job = waiting.shift();
      if (!job.isGone) run(job);
    }
  }

  function run(job) {
    const { requestId, incoming, response } = job;
    record('run', { server: name, requestId, method: incoming.method, path: incoming.url });
    if (isDeadly(incoming)) {
      self.crash(requestId);
      return;
    }
    running.add(job);
    job.timer = setTimeout(() => {
      running.delete(job);
      const body = JSON.stringify({ requestId, server: name });
      response.writeHead(200, {
        'Request-Id': requestId,
        'Server-Stamp': `${name}.${requestId}`,
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
      });
      response.end(body);
      record('done', { server: name, requestId });
      startNext();
    }, workMs());
  }

  function handle(incoming, response) {
    const requestId = String(incoming.headers['request-id'] ?? '');
    const expected = incoming.headers['expect-instance'];
    if (expected !== undefined && expected !== name) {
      refuse(response, requestId, 421);
      return;
    }
    const job = { requestId, incoming, response, isGone: false, timer: undefined };
    response.on('close', () => {
      job.isGone = true;
      clearTimeout(job.timer);
      if (running.delete(job)) startNext();
    });
    if (running.size < slots) run(job);
    else if (waiting.length < queue) waiting.push(job);
    else refuse(response, requestId, 503);
  }

  server.on('request', (incoming, response) => {
    incoming.resume();
    incoming.on('end', () => handle(incoming, response));
  });

  return Object.assign(self, {
    countRunning: () => running.size,
    listRunning: () => [...running].map(({ requestId }) => requestId),
    /** Listens, at first on any free port. */
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
    /** Ends at once: nothing is answered any more, and nothing listens. */
    crash: (requestId) => {
      if (!self.isUp) return;
      self.isUp = false;
      record('server-crashed', { server: name, by: requestId, running: self.listRunning() });
      for (const job of running) clearTimeout(job.timer);
      running.clear();
      waiting.length = 0;
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
      self.onCrash(self);
    },
    stop: () => {
      self.isUp = false;
      for (const job of running) clearTimeout(job.timer);
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  });
}
