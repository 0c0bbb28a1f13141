/**
 * Stand-in for a plain service: counts every effect. Usage: node main.js IP:port [FILE]. Effects
 * outlast the process in the file.
 */

import { appendFile, readFile } from 'node:fs/promises';
import type { ServerResponse } from 'node:http';
import { sendJson, startJsonServer } from '../http/json-server.js';

/** Faults that tests switch on and off. */
export type LedgerFaults = {
  /** Delays every answer, in milliseconds. */
  delayMs: number;
  /** Exits the process after the effect of the next call and before its answer. */
  isDyingInCall: boolean;
};

const DEATH_EXIT_CODE = 134;
const file = process.argv[3];
const effects = new Map<string, number>();
const faults: LedgerFaults = { delayMs: 0, isDyingInCall: false };

function recordEffect(name: string): number {
  const count = (effects.get(name) ?? 0) + 1;
  effects.set(name, count);
  return count;
}

async function answerCall(name: string, response: ServerResponse): Promise<void> {
  const count = recordEffect(name);
  if (file !== undefined) await appendFile(file, `${name}\n`);
  if (faults.isDyingInCall) process.exit(DEATH_EXIT_CODE);
  setTimeout(() => sendJson(response, 200, { effect: name, count }), faults.delayMs);
}

const recorded = file === undefined ? '' : await readFile(file, 'utf8').catch(() => '');
for (const name of recorded.split('\n')) if (name !== '') recordEffect(name);

startJsonServer(process.argv[2] ?? '127.0.0.1:7300', ({ method, path, body }, response) => {
  if (path === '/control/effects') {
    sendJson(response, 200, Object.fromEntries(effects));
    return;
  }
  if (path === '/control/faults') {
    Object.assign(faults, body);
    sendJson(response, 200, faults);
    return;
  }
  if (method === 'GET') {
    sendJson(response, 200, { path, effects: effects.size });
    return;
  }
  const name = String((body as { effect?: unknown } | undefined)?.effect ?? path);
  answerCall(name, response).catch(() => response.destroy());
});
