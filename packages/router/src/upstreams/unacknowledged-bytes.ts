/**
 * Counts the bytes written to a connection that the kernel still holds because the other end has not acknowledged them.
 * Node does not expose this; the kernel's table of connections does.
 */

import { readFile } from 'node:fs/promises';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { getSteadyMs } from '../time/steady-clock.js';

/** Lists the IPv4 connections. */
const TABLE = '/proc/self/net/tcp';
/** The table is read no more often than this: with tens of thousands of connections a read takes some tens of milliseconds. */
const READ_INTERVAL_MS = 50;
/** What follows both addresses in a row: the state, then the bytes of the send queue, in hexadecimal digits. */
const SEND_QUEUE = /^ [0-9A-F]{2} ([0-9A-F]{8}):/u;

let nextReadAt = 0;
let scheduledRead: Promise<string> | undefined;

/** Reads the table; callers that ask before a scheduled read begins share it. */
function readTable(): Promise<string> {
  const read = async (): Promise<string> => {
    await pause(Math.max(0, nextReadAt - getSteadyMs()));
    nextReadAt = getSteadyMs() + READ_INTERVAL_MS;
    scheduledRead = undefined;
    return readFile(TABLE, 'latin1').catch(() => '');
  };
  scheduledRead ??= read();
  return scheduledRead;
}

/** Writes an address as the table does on x86-64 and arm64: its octets in reverse order. */
function formatAddress(address: string, port: number): string {
  const octets = address.split('.').reverse();
  const host = octets.map((octet) => Number(octet).toString(16).padStart(2, '0')).join('');
  return `${host}:${port.toString(16).padStart(4, '0')}`.toUpperCase();
}

function findQueuedBytes(table: string, addresses: string): number | undefined {
  const at = table.indexOf(addresses);
  if (at < 0) return undefined;
  const rowEnd = table.indexOf('\n', at);
  return parseInt(SEND_QUEUE.exec(table.slice(at + addresses.length, rowEnd))?.[1] ?? '0', 16);
}

/**
 * Counts the bytes of an open IPv4 connection that its other end has not acknowledged; 0 if the kernel does not
 * tell, or the connection has closed.
 */
export async function countUnacknowledgedBytes(socket: Socket): Promise<number> {
  const { localAddress, localPort, remoteAddress, remotePort } = socket;
  if (localAddress === undefined || localPort === undefined) return 0;
  if (remoteAddress === undefined || remotePort === undefined) return 0;
  const addresses = `${formatAddress(localAddress, localPort)} ${formatAddress(remoteAddress, remotePort)}`;
  // A read of a table that changes meanwhile may miss a row, so it is read once more.
  const bytes =
    findQueuedBytes(await readTable(), addresses) ?? findQueuedBytes(await readTable(), addresses);
  return bytes ?? 0;
}
