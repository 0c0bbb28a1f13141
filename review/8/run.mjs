/* eslint-disable import-x/extensions, no-restricted-syntax -- as the project's own sources, which are .ts files */

/** Model servers leave as planned and exit after their last streams, which end with their connection. */

import { fork } from 'node:child_process';
import { createServer } from 'node:http';
import { createConnection } from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  findFraming,
  HOST,
  listen,
  makeRecord,
  pause,
  ROUTE_HOST,
  runCase,
  startDaemons,
  startStore,
} from '../kit-2.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const STREAMS = 18;
const EVENTS = 70;
const DRAIN_MS = 2_000;
/** Pause between the servers of a release, which are replaced one after the other. */
const GAP_MS = 1_000;
/** "A little longer": a server that leaves serves on for it after `drainMs`. */
const LITTLE_LONGER_MS = 500;
/** More broken answers than these break the rule. */
const ALLOWED = 3;

const record = makeRecord(join(FOLDER, 'record.txt'));

function startEngine(id, stage, wholeBy) {
  const born = Date.now();
  const child = fork(join(FOLDER, 'engine.mjs'), [id, HOST, stage, String(born)]);
  return new Promise((resolve, reject) => {
    child.on('error', reject);
    child.on('message', ({ kind, requestId = '', port }) => {
      if (kind === 'whole') wholeBy.set(requestId, id);
      if (kind === 'listens') resolve({ id, child, stage, born, address: `${HOST}:${port}` });
      else record(`engine ${id}: ${kind} ${requestId}`);
    });
  });
}

/** A ledger server whose answers have a length and keep the connection. */
function startLedger(id) {
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      const { 'request-id': requestId } = incoming.headers;
      response.writeHead(200, {
        'Request-Id': requestId,
        'Server-Stamp': `stamp-${id}-${requestId}`,
        'Content-Length': 2,
      });
      response.end('ok');
    });
  });
  return listen(server).then((address) => ({ server, address }));
}

/** Sends a lookup, then on the same connection a stream; resolves with how the stream's answer ended. */
function sendStream(port, index) {
  const lookup = [`GET /balance/${index} HTTP/1.1`, `Host: ${ROUTE_HOST}`, `Request-Id: l${index}`];
  const body = '{"note":1}';
  const stream = [
    `POST /note/${index} HTTP/1.1`,
    `Host: ${ROUTE_HOST}`,
    `Request-Id: s${index}`,
    'Deadline-Ms: 14000',
    'Model: m',
    `Token-Count: 100,${EVENTS}`,
    `Prompt-Prefix: a${index}:50,b${index}:50`,
    `Content-Length: ${body.length}`,
  ];
  return new Promise((resolve) => {
    const socket = createConnection({ host: HOST, port });
    let text = '';
    let isKept = false;
    let end = 'closed';
    socket.on('connect', () =>
      socket.write(`${[...lookup, 'Deadline-Ms: 1500'].join('\r\n')}\r\n\r\n`),
    );
    socket.on('data', (part) => {
      text += part.toString('latin1');
      if (isKept || !text.endsWith('\r\n\r\nok')) return;
      isKept = true;
      text = '';
      socket.write(`${stream.join('\r\n')}\r\n\r\n${body}`);
    });
    socket.on('error', (error) => {
      end = error.code === 'ECONNRESET' ? 'reset' : String(error.code);
    });
    socket.on('end', () => socket.end());
    socket.on('close', () => {
      const at = text.indexOf('\r\n\r\n');
      const head = text.slice(0, Math.max(0, at));
      const status = Number(/^HTTP\/1\.1 (\d+)/u.exec(head)?.[1] ?? 0);
      const events = text.slice(at + 4).split('\n\n').length - 1;
      resolve({ id: `s${index}`, isKept, status, events, framing: findFraming(head), end });
    });
  });
}

await runCase(record, async () => {
  const site = await startStore();
  const engines = [];
  const wholeBy = new Map();
  let ledger;
  let daemons;
  const addEngine = async (id, stage) => {
    const engine = await startEngine(id, stage, wholeBy);
    const { address, born } = engine;
    const entry = { service: 'llm', zone: 'negombo', stage, address, born };
    engines.push({ ...engine, entry, endHeartbeats: site.addServer(id, entry) });
  };
  /** The new server starts first; the old one drains, takes no more connections and exits. */
  const replaceEngine = async (oldId, newId) => {
    await addEngine(newId, 'decode');
    const { entry, child, endHeartbeats } = engines.find(({ id }) => id === oldId);
    endHeartbeats();
    const common = { version: 'v1', slots: 12, coldRemainingMs: 0, sequence: 99 };
    site.store.put('servers', oldId, { ...common, ...entry, state: 'draining' });
    record(`engine ${oldId}: reports draining`);
    await pause(DRAIN_MS + LITTLE_LONGER_MS);
    site.store.remove('servers', oldId);
    child.send({ kind: 'leave' });
    record(`engine ${oldId}: takes no more connections, and exits when its streams have ended`);
  };
  try {
    await addEngine('i-engine-1', 'prefill');
    await addEngine('i-engine-2', 'decode');
    await addEngine('i-engine-3', 'decode');
    await addEngine('i-engine-4', 'decode');
    ledger = await startLedger('i-ledger-1');
    site.addServer('i-ledger-1', {
      service: 'ledger',
      zone: 'negombo',
      born: 1,
      address: ledger.address,
    });
    daemons = await startDaemons(3, site.address, record);
    const streams = Array.from({ length: STREAMS }, (_value, index) =>
      sendStream(daemons.daemons[index % daemons.daemons.length].port, index),
    );
    await pause(500);
    if (HAS_TROUBLE) {
      // Half of the four, one after the other.
      replaceEngine('i-engine-2', 'i-engine-5');
      await pause(GAP_MS);
      replaceEngine('i-engine-3', 'i-engine-6');
    }
    const ended = await Promise.all(streams);
    for (const { id, status, events, framing, end } of ended) {
      record(`caller: ${id} got ${status}, ${events} events, framing ${framing}, ${end}`);
    }
    const lost = ended.filter(
      ({ id, isKept, framing, end, status }) =>
        isKept && status === 200 && framing === 'connection' && end === 'reset' && wholeBy.has(id),
    );
    const whole = ended.filter(({ events, end }) => events === EVENTS && end === 'closed').length;
    record(`${STREAMS} streams, ${whole} whole, ${lost.length} reset that their servers had ended`);
    if (!HAS_TROUBLE && whole !== STREAMS) throw new Error('not all streams are whole');
    return lost.length > ALLOWED;
  } finally {
    await daemons?.stop();
    for (const { child } of engines) child.kill('SIGKILL');
    ledger?.server.closeAllConnections();
    ledger?.server.close();
    site.stop();
  }
});
