/**
 * Counts what the system still holds of what was written to a connection, as its other end has not acknowledged it.
 * Node does not tell that; the system's table of connections does.
 */

import { readFile } from 'node:fs/promises';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { getSteadyMs } from '../time/steady-clock.js';

const TABLE = '/proc/self/net/tcp';
/** With tens of thousands of connections the table is read in some tens of milliseconds. */
const READ_INTERVAL_MS = 50;
/** Behind both addresses: the state, then the bytes that wait, in hexadecimal digits. */
const QUEUE = /^ [0-9A-F]{2} ([0-9A-F]{8}):/u;

let nextReadAt = 0;
let waitingRead: Promise<string> | undefined;

/** Reads the table; all that ask while a read waits for its turn share it. */
function readTable(): Promise<string> {
  const read = async (): Promise<string> => {
    await pause(Math.max(0, nextReadAt - getSteadyMs()));
    nextReadAt = getSteadyMs() + READ_INTERVAL_MS;
    waitingRead = undefined;
    return readFile(TABLE, 'latin1').catch(() => '');
  };
  waitingRead ??= read();
  return waitingRead;
}

/** Writes an address as the table does on x86-64 and arm64: its octets in reverse order. */
function formatEnd(address: string, port: number): string {
  const octets = address.split('.').reverse();
  const host = octets.map((octet) => Number(octet).toString(16).padStart(2, '0')).join('');
  return `${host}:${port.toString(16).padStart(4, '0')}`.toUpperCase();
}

function findQueue(table: string, ends: string): number | undefined {
  const at = table.indexOf(ends);
  if (at < 0) return undefined;
  const rowEnd = table.indexOf('\n', at);
  return parseInt(QUEUE.exec(table.slice(at + ends.length, rowEnd))?.[1] ?? '0', 16);
}

/**
 * Counts the bytes of an open IPv4 connection that its other end has not acknowledged; 0 if the system does not
 * tell, or the connection has closed.
 */
export async function countUnacknowledgedBytes(socket: Socket): Promise<number> {
  const { localAddress, localPort, remoteAddress, remotePort } = socket;
  if (localAddress === undefined || localPort === undefined) return 0;
  if (remoteAddress === undefined || remotePort === undefined) return 0;
  const ends = `${formatEnd(localAddress, localPort)} ${formatEnd(remoteAddress, remotePort)}`;
  // A row may be passed over in a table that changes while it is read.
  const bytes = findQueue(await readTable(), ends) ?? findQueue(await readTable(), ends);
  return bytes ?? 0;
}
