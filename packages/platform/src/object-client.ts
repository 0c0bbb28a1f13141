/** Client of the platform's object store. */

import type { Agent } from 'node:http';
import { sendJson } from './http-json.js';

/** Answer to a read of an object. */
export type ObjectResult =
  | { readonly kind: 'object'; readonly text: string }
  | { readonly kind: 'missing' }
  | { readonly kind: 'unavailable' };

/** Narrow interface of the object store. Deadlines are milliseconds since the epoch. */
export type ObjectClient = {
  /** Stores a text under a key; storing the same text again is harmless. */
  putObject(key: string, text: string, deadline: number): Promise<boolean>;
  getObject(key: string, deadline: number): Promise<ObjectResult>;
  /** Deletes an object; deleting a missing one is harmless. */
  deleteObject(key: string, deadline: number): Promise<boolean>;
};

/** Makes a client of the object store at `baseUrl`. */
export function makeObjectClient(baseUrl: string, agent: Agent): ObjectClient {
  function getUrl(key: string): string {
    return `${baseUrl}/objects/${encodeURIComponent(key)}`;
  }

  return {
    async putObject(key, text, deadline) {
      const call = { method: 'PUT', url: getUrl(key), body: text, deadline } as const;
      const answer = await sendJson(agent, call);
      return answer.kind === 'answer' && answer.status === 200;
    },
    async deleteObject(key, deadline) {
      const answer = await sendJson(agent, { method: 'DELETE', url: getUrl(key), deadline });
      return answer.kind === 'answer' && answer.status === 200;
    },
    async getObject(key, deadline) {
      const answer = await sendJson(agent, { method: 'GET', url: getUrl(key), deadline });
      if (answer.kind !== 'answer') return { kind: 'unavailable' };
      if (answer.status === 404) return { kind: 'missing' };
      if (answer.status !== 200) return { kind: 'unavailable' };
      return { kind: 'object', text: answer.body };
    },
  };
}
