/** Client of the platform's transactional table service. */

import type { Agent } from 'node:http';
import * as z from 'zod';
import type { ReadResult, TableRow, TableWrite, TransactResult } from '@tarragonspool/protocol';
import { sendJson } from './http-json.js';

/** Narrow interface of the table service. Deadlines are milliseconds since the epoch. */
export type TableClient = {
  /** Applies every write or none. */
  transact(writes: readonly TableWrite[], deadline: number): Promise<TransactResult>;
  /** Reads rows by key; missing rows are left out. */
  readRows(keys: readonly string[], deadline: number): Promise<ReadResult>;
  /** Reads rows whose key starts with the prefix, in key order. */
  scanRows(prefix: string, limit: number, deadline: number): Promise<ReadResult>;
};

const rowSchema = z.object({ key: z.string(), value: z.string(), version: z.number() });
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const transactSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('committed') }),
  z.object({ kind: z.literal('conflict'), rows: z.array(rowSchema) }),
]);

function parseBody<T>(schema: z.ZodType<T>, body: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(body));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function makeReadResult(status: number, body: string): ReadResult {
  const parsed = status === 200 ? parseBody(rowsSchema, body) : undefined;
  if (parsed === undefined) return { kind: 'unavailable' };
  const rows: readonly TableRow[] = parsed.rows;
  return { kind: 'rows', rows };
}

/** Makes a client of the table service at `baseUrl`. */
export function makeTableClient(baseUrl: string, agent: Agent): TableClient {
  async function read(path: string, body: unknown, deadline: number): Promise<ReadResult> {
    const answer = await sendJson(agent, {
      method: 'POST',
      url: `${baseUrl}${path}`,
      body: JSON.stringify(body),
      deadline,
    });
    if (answer.kind !== 'answer') return { kind: 'unavailable' };
    return makeReadResult(answer.status, answer.body);
  }

  return {
    async transact(writes, deadline) {
      const answer = await sendJson(agent, {
        method: 'POST',
        url: `${baseUrl}/table/transact`,
        body: JSON.stringify({ writes }),
        deadline,
      });
      if (answer.kind === 'unsent') return { kind: 'unavailable' };
      if (answer.kind === 'lost') return { kind: 'lost' };
      if (answer.status === 503) return { kind: 'unavailable' };
      return parseBody(transactSchema, answer.body) ?? { kind: 'lost' };
    },
    readRows: (keys, deadline) => read('/table/read', { keys }, deadline),
    scanRows: (prefix, limit, deadline) => read('/table/scan', { prefix, limit }, deadline),
  };
}
