/** Parses and checks what is put into addresses and heads of requests, so that no send can throw. */

import { isIPv4 } from 'node:net';

/** An IPv4 address and a port from 1 to 65535. */
export type HostAndPort = { readonly host: string; readonly port: number };

/** Greatest port. */
export const MAX_PORT = 65_535;
const PORT = /^[1-9]\d{0,4}$/u;
/** Printable ASCII without a blank. */
const HEADER_TOKEN = /^[\x21-\x7e]+$/u;

/** Parses `IP:PORT`; undefined if an octet or the port is out of range. */
export function parseAddress(text: string): HostAndPort | undefined {
  const split = text.lastIndexOf(':');
  const host = text.slice(0, Math.max(0, split));
  const portText = text.slice(split + 1);
  if (!isIPv4(host) || !PORT.test(portText)) return undefined;
  const port = Number(portText);
  return port <= MAX_PORT ? { host, port } : undefined;
}

/** Whether a text can be sent in a header or a path as it is, and read as the same text. */
export function isHeaderToken(text: string): boolean {
  return HEADER_TOKEN.test(text);
}
