/** Small JSON client over `node:http` for the platform's services. */

import { Agent, request } from 'node:http';

/** Answer to a JSON call. `lost` means that the call may have taken effect. */
export type JsonAnswer =
  | { readonly kind: 'answer'; readonly status: number; readonly body: string }
  | { readonly kind: 'unsent'; readonly detail: string }
  | { readonly kind: 'lost'; readonly detail: string };

/** One call of a platform service. */
export type JsonCall = {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly body?: string;
  /** When to give up, in milliseconds since the epoch. */
  readonly deadline: number;
};

const MAX_SOCKETS = 32;
/** Longer answers, or the same in very many pieces, are none. */
const MAX_ANSWER_COST_BYTES = 33_554_432;
/** Memory that a piece takes besides its bytes. */
const PIECE_COST_BYTES = 640;
const UNSENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Makes a connection pool for calls to the platform. */
export function makeAgent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });
}

/** Sends one call and resolves with its answer; never rejects. */
export function sendJson(agent: Agent, call: JsonCall): Promise<JsonAnswer> {
  return new Promise((resolve) => {
    const headers = call.body === undefined ? {} : { 'content-type': 'application/json' };
    const outgoing = request(call.url, { method: call.method, agent, headers }, (incoming) => {
      const chunks: Buffer[] = [];
      let costBytes = 0;
      incoming.on('data', (chunk: Buffer) => {
        costBytes += chunk.length + PIECE_COST_BYTES;
        if (costBytes <= MAX_ANSWER_COST_BYTES) chunks.push(chunk);
        else outgoing.destroy(new Error('answer too large'));
      });
      incoming.on('error', (error) => resolve({ kind: 'lost', detail: error.message }));
      incoming.on('end', () => {
        const body = Buffer.concat(chunks).toString('utf8');
        resolve({ kind: 'answer', status: incoming.statusCode ?? 0, body });
      });
    });
    const timer = setTimeout(
      () => outgoing.destroy(new Error('deadline passed')),
      Math.max(0, call.deadline - Date.now()),
    );
    outgoing.on('close', () => clearTimeout(timer));
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      const isUnsent = UNSENT_CODES.has(error.code ?? '');
      resolve({ kind: isUnsent ? 'unsent' : 'lost', detail: error.message });
    });
    outgoing.end(call.body);
  });
}
