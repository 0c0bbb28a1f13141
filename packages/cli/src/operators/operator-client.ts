/** Client of a daemon's operator interface. */

import * as z from 'zod';

/** A refusal as a daemon sends it. */
export type ProblemDetails = {
  readonly code: number;
  readonly name: string;
  readonly title: string;
  readonly detail: string;
  readonly ran: string;
};

/** Answer of a daemon. */
export type OperatorAnswer<T> =
  | { readonly kind: 'value'; readonly url: string; readonly value: T }
  | { readonly kind: 'problem'; readonly url: string; readonly problem: ProblemDetails }
  | { readonly kind: 'unreachable'; readonly url: string; readonly detail: string }
  /** The call was sent but its answer is not known. */
  | { readonly kind: 'lost'; readonly url: string; readonly detail: string };

/** Where the operator interface is and how to prove who asks. */
export type OperatorAccess = { readonly url: string; readonly token: string };

/** A call and the shape of its answer. */
export type OperatorCall<T> = {
  readonly path: string;
  readonly schema: z.ZodType<T>;
  /** Sent by POST; without it the call is a GET. */
  readonly body?: unknown;
};

const CALL_TIMEOUT_MS = 20_000;
const UNSENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

const problemSchema = z.object({
  code: z.number(),
  name: z.string(),
  title: z.string(),
  detail: z.string(),
  ran: z.string(),
});

function getErrorCode(error: unknown): string {
  const { cause, name } = error as { cause?: { code?: string; message?: string }; name?: string };
  return cause?.code ?? cause?.message ?? name ?? 'unknown error';
}

function parseAnswer<T>(
  url: string,
  call: OperatorCall<T>,
  isOk: boolean,
  text: string,
): OperatorAnswer<T> {
  const detail = 'the answer is not that of a daemon; is this the operator address?';
  try {
    const value: unknown = JSON.parse(text);
    if (!isOk) return { kind: 'problem', url, problem: problemSchema.parse(value) };
    return { kind: 'value', url, value: call.schema.parse(value) };
  } catch {
    return { kind: 'unreachable', url, detail };
  }
}

/** Calls the operator interface; never throws. */
export async function callOperator<T>(
  access: OperatorAccess,
  call: OperatorCall<T>,
): Promise<OperatorAnswer<T>> {
  const { url, token } = access;
  const isPost = call.body !== undefined;
  try {
    const answer = await fetch(`${url}${call.path}`, {
      method: isPost ? 'POST' : 'GET',
      headers: { authorization: `Bearer ${token}` },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      ...(isPost ? { body: JSON.stringify(call.body) } : {}),
    });
    return parseAnswer(url, call, answer.ok, await answer.text());
  } catch (error) {
    const code = getErrorCode(error);
    const kind = isPost && !UNSENT_CODES.has(code) ? 'lost' : 'unreachable';
    return { kind, url, detail: code };
  }
}
