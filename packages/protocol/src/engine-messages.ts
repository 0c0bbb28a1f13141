/** Requests to model engines and their responses. Times are milliseconds since the epoch. */

import type {
  AttemptId,
  FencingNumber,
  Fingerprint,
  Incarnation,
  ModelName,
  PrefixHash,
  RequestId,
  UpstreamId,
  VmId,
} from './ids.js';

/** Kind of work that an engine currently accepts. */
export type EngineRole = 'prefill' | 'decode';

/** Owner of engine memory, sent with every order that allocates some. */
export type HoldOwner = {
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  /** When the engine may release the memory without being told to. */
  readonly deadline: number;
};

/** A model with an optional adapter and version. */
export type ModelTarget = {
  readonly model: ModelName;
  readonly adapter?: string;
  readonly version?: string;
};

/** Orders a prefill. The resulting KV cache can be exported for less than a second. */
export type PrefillOrder = {
  readonly owner: HoldOwner;
  readonly target: ModelTarget;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly prefixes: readonly PrefixHash[];
  /** 0 to 9, greater first. */
  readonly priority: number;
  /** Text of the answer that the caller has already received; it is prefilled with the prompt. */
  readonly answerText?: string;
};

/** Result of a prefill. */
export type PrefillResult = {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Size of the exportable KV cache, in bytes. */
  readonly kvBytes: number;
};

/** Engine from which a decode engine imports the KV cache. */
export type KvSource = {
  readonly upstreamId: UpstreamId;
  readonly url: string;
  readonly attemptId: AttemptId;
};

/**
 * Orders a KV cache import followed by a decode stream. A `fromIndex` above zero resumes a stream at
 * that token.
 */
export type DecodeOrder = {
  readonly owner: HoldOwner;
  readonly target: ModelTarget;
  readonly source: KvSource;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly fromIndex: number;
  readonly priority: number;
  readonly fingerprint: Fingerprint;
};

/** One line of a decode stream. */
export type DecodeFrame =
  | { readonly kind: 'imported'; readonly attemptId: AttemptId }
  | {
      readonly kind: 'token';
      readonly attemptId: AttemptId;
      readonly index: number;
      readonly text: string;
    }
  | {
      readonly kind: 'end';
      readonly attemptId: AttemptId;
      readonly tokens: number;
      readonly finishReason: 'stop' | 'length';
    }
  | { readonly kind: 'error'; readonly attemptId: AttemptId; readonly error: string };

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0;
}

/** Validates a frame without a schema, because it runs for every token. */
function isDecodeFrame(value: unknown): value is DecodeFrame {
  if (typeof value !== 'object' || value === null) return false;
  const frame = value as Record<string, unknown>;
  if (typeof frame.attemptId !== 'string') return false;
  switch (frame.kind) {
    case 'imported':
      return true;
    case 'token':
      return isCount(frame.index) && typeof frame.text === 'string';
    case 'end':
      return (
        isCount(frame.tokens) && (frame.finishReason === 'stop' || frame.finishReason === 'length')
      );
    case 'error':
      return typeof frame.error === 'string';
    default:
      return false;
  }
}

/** Parses one line of a decode stream; undefined if it is malformed. */
export function parseDecodeFrame(line: string): DecodeFrame | undefined {
  try {
    const value: unknown = JSON.parse(line);
    return isDecodeFrame(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Memory that an engine holds for one attempt. */
export type EngineHold = {
  readonly owner: HoldOwner;
  readonly kind: 'prefill' | 'kv' | 'decode';
  /** Size in pieces, the units in which the engine allocates memory. */
  readonly pieces: number;
};

/** An engine's load at `measuredAt`; it arrives with a delay. */
export type LoadReport = {
  readonly role: EngineRole;
  readonly queuedPrefillTokens: number;
  readonly decodeStreams: number;
  readonly decodePlaces: number;
  readonly freePieces: number;
  readonly totalPieces: number;
  readonly loadedTargets: readonly ModelTarget[];
  /** Highest fencing number that the engine has received. */
  readonly fencingNumber: FencingNumber;
  /** When the engine measured these values. */
  readonly measuredAt: number;
};

/**
 * A change of an engine's prefix cache; it arrives with a delay. `sequence` has gaps where events
 * were lost.
 */
export type CacheEvent = {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixes: readonly PrefixHash[];
};

/** Orders an engine to change its role or the models that it has loaded. */
export type EngineOrder =
  | { readonly kind: 'set-role'; readonly fencingNumber: FencingNumber; readonly role: EngineRole }
  | {
      readonly kind: 'load-target';
      readonly fencingNumber: FencingNumber;
      readonly target: ModelTarget;
    }
  | {
      readonly kind: 'unload-target';
      readonly fencingNumber: FencingNumber;
      readonly target: ModelTarget;
    };

/** Response to an `EngineOrder`; `fenced` means that a newer lease holder has given orders. */
export type EngineOrderResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'fenced'; readonly fencingNumber: FencingNumber };
