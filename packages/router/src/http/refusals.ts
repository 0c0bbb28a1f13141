/** Writes refusals as `application/problem+json`. */

import type { ServerResponse } from 'node:http';
import { getResultCode, type Refusal } from '@tarragonspool/protocol';

const MS_PER_SECOND = 1_000;

/** Body of a refusal, as callers read it. */
export type ProblemBody = {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: number;
  readonly name: string;
  readonly detail: string;
  readonly ran: Refusal['ran'];
  readonly requestId?: string;
  readonly retryAt?: string;
};

/** Builds the body of a refusal. */
export function buildProblem(refusal: Refusal, requestId?: string): ProblemBody {
  const entry = getResultCode(refusal.name);
  return {
    type: `urn:tarragonspool:result:${entry.code}`,
    title: entry.title,
    status: entry.status,
    code: entry.code,
    name: refusal.name,
    detail: refusal.detail,
    ran: refusal.ran,
    ...(requestId === undefined ? {} : { requestId }),
    ...(refusal.retryAt === undefined ? {} : { retryAt: new Date(refusal.retryAt).toISOString() }),
  };
}

/** Sends a refusal, with Retry-After in whole seconds where asking again makes sense. */
export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  now: number,
  requestId?: string,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(buildProblem(refusal, requestId));
  response.statusCode = getResultCode(refusal.name).status;
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('content-length', Buffer.byteLength(body));
  if (refusal.retryAt !== undefined) {
    const seconds = Math.max(1, Math.ceil((refusal.retryAt - now) / MS_PER_SECOND));
    response.setHeader('retry-after', seconds);
  }
  response.end(body);
}
