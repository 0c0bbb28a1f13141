/**
 * Numbered results that callers, operators and peers may see. A test compares the table in
 * docs/result-codes.md with this list.
 */

/** Whether a refused or failed request ran on an upstream. */
export type ExecutionStatus = 'not-run' | 'ran' | 'unknown';

type ResultCodeEntry = {
  /** Stable number, never reused. */
  readonly code: number;
  /** HTTP status that callers see. */
  readonly status: number;
  /** Short English sentence. */
  readonly title: string;
};

/** All results by name. */
export const RESULT_CODES = {
  'malformed-json': { code: 1001, status: 400, title: 'The body is not valid JSON.' },
  'body-too-large': { code: 1002, status: 413, title: 'The body is larger than the limit.' },
  'unknown-model': { code: 1003, status: 404, title: 'No upstream serves this model.' },
  'missing-key': { code: 1004, status: 401, title: 'The request carries no API key.' },
  'wrong-key': { code: 1005, status: 401, title: 'The API key belongs to no caller.' },
  'not-approved': { code: 1006, status: 403, title: 'No rule lets this caller reach it.' },
  'unknown-path': { code: 1007, status: 404, title: 'This path does not exist.' },
  'invalid-request': { code: 1008, status: 400, title: 'A field of the request is not valid.' },
  'headers-too-large': { code: 1009, status: 431, title: 'The headers exceed the limit.' },
  'idempotency-key-required': {
    code: 1010,
    status: 400,
    title: 'This upstream takes calls only with an Idempotency-Key.',
  },
  'body-timeout': { code: 1011, status: 408, title: 'The body did not arrive in time.' },
  'unknown-service': { code: 1012, status: 404, title: 'No such service is known.' },
  'deadline-unreachable': {
    code: 2001,
    status: 503,
    title: 'The latency targets cannot be met now.',
  },
  'queue-full': { code: 2002, status: 503, title: 'The queue is full.' },
  'no-upstream': { code: 2003, status: 503, title: 'No upstream can take the request now.' },
  'not-ready': { code: 2004, status: 503, title: 'This VM is not ready or is leaving.' },
  'share-exceeded': {
    code: 2005,
    status: 429,
    title: 'The caller used up its share of the queue.',
  },
  'cut-off': { code: 2006, status: 503, title: 'This VM cannot confirm its rules.' },
  'reservation-lost': { code: 2007, status: 503, title: 'The reservation lapsed.' },
  'stream-unknown': {
    code: 2008,
    status: 503,
    title: 'It is not known which software version began the stream.',
  },
  'version-gone': {
    code: 2009,
    status: 503,
    title: 'No engine of the software version that began the stream is left.',
  },
  'body-not-held': { code: 2010, status: 503, title: 'The body cannot be held now.' },
  'quota-exceeded': { code: 2011, status: 429, title: 'The tenant has used up its quota.' },
  'claim-unavailable': {
    code: 3001,
    status: 503,
    title: 'The claim could not be recorded, so the call was not made.',
  },
  'outcome-unknown': { code: 3002, status: 502, title: 'The call may or may not have run.' },
  'claim-in-progress': { code: 3003, status: 409, title: 'A call with this key is running.' },
  'key-reused': { code: 3004, status: 422, title: 'The key was used for another request.' },
  'duplicate-request': { code: 3005, status: 409, title: 'This request is already running.' },
  'answer-not-kept': {
    code: 3006,
    status: 409,
    title: 'The call ran; its answer was too large to keep.',
  },
  'upstream-failed': { code: 4001, status: 502, title: 'The upstream failed.' },
  'stream-interrupted': { code: 4002, status: 502, title: 'The answer broke off.' },
  'upstream-timeout': { code: 4003, status: 504, title: 'The upstream did not answer in time.' },
  'caller-gone': { code: 4004, status: 499, title: 'The caller closed the connection.' },
  quarantined: { code: 5001, status: 422, title: 'This request crashes upstreams.' },
  'suspect-running': { code: 5002, status: 503, title: 'The same suspect request is running.' },
  'content-in-doubt': {
    code: 5003,
    status: 503,
    title: 'Whether this request crashes upstreams is being judged.',
  },
  'rule-syntax': { code: 6001, status: 400, title: 'The rule file has a bad line.' },
  'stale-revision': { code: 6002, status: 409, title: 'The rules changed since they were read.' },
  'rules-unavailable': { code: 6003, status: 503, title: 'The rules could not be stored.' },
  'edit-unsettled': { code: 6004, status: 503, title: 'The edit may or may not be accepted.' },
  'wrong-operator-token': { code: 6005, status: 401, title: 'The operator token is wrong.' },
  'frame-too-large': { code: 7001, status: 500, title: 'A peer sent a frame above the limit.' },
  'frame-malformed': { code: 7002, status: 500, title: 'A peer sent a malformed frame.' },
  'protocol-version': { code: 7003, status: 500, title: 'A peer speaks an unknown version.' },
  'proof-failed': { code: 7004, status: 500, title: 'A peer does not know the shared secret.' },
  'invalid-setting': { code: 8001, status: 500, title: 'A setting is not valid.' },
  'internal-error': { code: 9001, status: 500, title: 'An unexpected error occurred.' },
} as const satisfies Record<string, ResultCodeEntry>;

/** Name of a result. */
export type ResultName = keyof typeof RESULT_CODES;

/** A final answer other than success. */
export type Refusal = {
  readonly name: ResultName;
  readonly ran: ExecutionStatus;
  /** Human-readable cause. */
  readonly detail: string;
  /** When to retry, in milliseconds since the epoch; absent where a retry would not help. */
  readonly retryAt?: number;
};

/** Returns the numbered entry for a result name. */
export function getResultCode(name: ResultName): ResultCodeEntry {
  return RESULT_CODES[name];
}
