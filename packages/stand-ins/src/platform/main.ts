/**
 * Stand-in for the platform: table service, object store, weight store and VM list, with
 * switchable faults and limits.
 * Usage: node main.js IP:port
 */

import type { ServerResponse } from 'node:http';
import type { TableRow, TableWrite, VmRecord } from '@tarragonspool/protocol';
import { sendJson, startJsonServer } from '../http/json-server.js';

/** Faults that tests switch on and off. */
export type PlatformFaults = {
  /** Refuses every call of the table and the object store. */
  isDown: boolean;
  /** Delays every call, in milliseconds. */
  delayMs: number;
  /** Loses the answer to this many of the next committed transactions. */
  loseAnswers: number;
  /** Loses the answer to this many of the next transactions and lets them take effect later. */
  delayEffects: number;
  effectDelayMs: number;
  /** How late the VM list is. */
  vmListLagMs: number;
  /** Rows that may be written and read in one second; calls above that are refused. */
  maxWrites: number;
  maxReads: number;
};

const rows = new Map<string, TableRow>();
const objects = new Map<string, string>();
const vmLists: { readonly shownAt: number; readonly vms: readonly VmRecord[] }[] = [];
const faults: PlatformFaults = {
  isDown: false,
  delayMs: 0,
  loseAnswers: 0,
  delayEffects: 0,
  effectDelayMs: 1_000,
  vmListLagMs: 0,
  maxWrites: 500,
  maxReads: 2_000,
};
const counts = { reads: 0, writes: 0, refused: 0, readsThisSecond: 0, writesThisSecond: 0 };
const SECOND_MS = 1_000;
const WEIGHT_LOAD_MS = 1_500;
let weightStoreFreeAt = 0;

function countAccess(kind: 'reads' | 'writes', rowCount: number): boolean {
  const limit = kind === 'reads' ? faults.maxReads : faults.maxWrites;
  counts[`${kind}ThisSecond`] += rowCount;
  if (counts[`${kind}ThisSecond`] > limit) {
    counts.refused += 1;
    return false;
  }
  counts[kind] += rowCount;
  return true;
}

function findConflicts(writes: readonly TableWrite[]): TableRow[] | undefined {
  const conflicts: TableRow[] = [];
  let isConflict = false;
  for (const write of writes) {
    const row = rows.get(write.key);
    const isFine =
      write.kind === 'insert'
        ? row === undefined
        : row !== undefined && row.version === write.ifVersion;
    if (isFine) continue;
    isConflict = true;
    if (row !== undefined) conflicts.push(row);
  }
  return isConflict ? conflicts : undefined;
}

function applyWrite(write: TableWrite): void {
  if (write.kind === 'delete') {
    rows.delete(write.key);
    return;
  }
  const version = (rows.get(write.key)?.version ?? 0) + 1;
  rows.set(write.key, { key: write.key, value: write.value, version });
}

function transact(writes: readonly TableWrite[], response: ServerResponse): void {
  if (!countAccess('writes', writes.length)) {
    sendJson(response, 503, { error: 'too many writes' });
    return;
  }
  if (faults.delayEffects > 0) {
    faults.delayEffects -= 1;
    response.destroy();
    setTimeout(() => {
      if (findConflicts(writes) === undefined) writes.forEach(applyWrite);
    }, faults.effectDelayMs);
    return;
  }
  const conflicts = findConflicts(writes);
  if (conflicts !== undefined) {
    sendJson(response, 200, { kind: 'conflict', rows: conflicts });
    return;
  }
  for (const write of writes) applyWrite(write);
  if (faults.loseAnswers > 0) {
    faults.loseAnswers -= 1;
    response.destroy();
    return;
  }
  sendJson(response, 200, { kind: 'committed' });
}

function readRows(keys: readonly string[], response: ServerResponse): void {
  if (!countAccess('reads', keys.length)) {
    sendJson(response, 503, { error: 'too many reads' });
    return;
  }
  const found: TableRow[] = [];
  for (const key of keys) {
    const row = rows.get(key);
    if (row !== undefined) found.push(row);
  }
  sendJson(response, 200, { rows: found });
}

function scanRows(prefix: string, limit: number, response: ServerResponse): void {
  const found: TableRow[] = [];
  for (const key of [...rows.keys()].sort()) {
    if (found.length >= limit) break;
    const row = rows.get(key);
    if (row !== undefined && key.startsWith(prefix)) found.push(row);
  }
  if (!countAccess('reads', found.length)) {
    sendJson(response, 503, { error: 'too many reads' });
    return;
  }
  sendJson(response, 200, { rows: found });
}

function handleStore(method: string, path: string, body: unknown, response: ServerResponse): void {
  if (faults.isDown) {
    sendJson(response, 503, { error: 'down' });
    return;
  }
  if (path === '/table/transact') {
    transact((body as { writes: TableWrite[] }).writes, response);
    return;
  }
  if (path === '/table/read') {
    readRows((body as { keys: string[] }).keys, response);
    return;
  }
  if (path === '/table/scan') {
    const { prefix, limit } = body as { prefix: string; limit: number };
    scanRows(prefix, limit, response);
    return;
  }
  const key = decodeURIComponent(path.slice('/objects/'.length));
  if (method === 'PUT') {
    objects.set(key, typeof body === 'string' ? body : JSON.stringify(body ?? ''));
    sendJson(response, 200, {});
    return;
  }
  if (method === 'DELETE') {
    objects.delete(key);
    sendJson(response, 200, {});
    return;
  }
  const text = objects.get(key);
  response.writeHead(text === undefined ? 404 : 200, { 'content-type': 'text/plain' });
  response.end(text ?? '');
}

function findVmList(): readonly VmRecord[] {
  while (vmLists.length > 1 && (vmLists[1]?.shownAt ?? Infinity) <= Date.now()) vmLists.shift();
  return vmLists[0]?.vms ?? [];
}

function sendWeights(response: ServerResponse): void {
  weightStoreFreeAt = Math.max(Date.now(), weightStoreFreeAt) + WEIGHT_LOAD_MS;
  setTimeout(() => sendJson(response, 200, {}), weightStoreFreeAt - Date.now());
}

setInterval(() => {
  counts.readsThisSecond = 0;
  counts.writesThisSecond = 0;
}, SECOND_MS);

startJsonServer(process.argv[2] ?? '127.0.0.1:7000', ({ method, path, body }, response) => {
  if (path === '/control/faults') {
    Object.assign(faults, body);
    sendJson(response, 200, faults);
    return;
  }
  if (path === '/control/vms') {
    vmLists.push({ shownAt: Date.now() + faults.vmListLagMs, vms: body as VmRecord[] });
    sendJson(response, 200, {});
    return;
  }
  if (path === '/control/counts') {
    sendJson(response, 200, { ...counts, rows: rows.size });
    return;
  }
  if (path === '/vms') {
    sendJson(response, 200, findVmList());
    return;
  }
  if (path.startsWith('/weights/')) {
    sendWeights(response);
    return;
  }
  if (faults.delayMs === 0) handleStore(method, path, body, response);
  else setTimeout(() => handleStore(method, path, body, response), faults.delayMs);
});
