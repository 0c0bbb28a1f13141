/** What a model engine is asked and what it answers. Times are milliseconds since the epoch. */

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

/** Work that an engine is fit for at the moment. */
export type EngineRole = 'prefill' | 'decode';

/** Identifies the holder of engine memory on every order that takes some. */
export type HoldOwner = {
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  /** When the engine may drop the hold by itself. */
  readonly deadline: number;
};

/** A model with an optional adapter and version. */
export type ModelTarget = {
  readonly model: ModelName;
  readonly adapter?: string;
  readonly version?: string;
};

/** Orders a prefill; its result stays exportable for under a second. */
export type PrefillOrder = {
  readonly owner: HoldOwner;
  readonly target: ModelTarget;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly prefixes: readonly PrefixHash[];
  /** 0 to 9, greater first. */
  readonly priority: number;
  /** Text of the answer that the caller already has; the prefill covers it too. */
  readonly answerText?: string;
};

/** Result of a prefill. */
export type PrefillResult = {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Size of the exportable KV cache, in bytes. */
  readonly kvBytes: number;
};

/** Where a decode engine imports the KV cache from. */
export type KvSource = {
  readonly upstreamId: UpstreamId;
  readonly url: string;
  readonly attemptId: AttemptId;
};

/** Orders an import followed by a decode stream. `fromIndex` above zero resumes a stream. */
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

/** Checks by hand what a schema would check: this runs for every token. */
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
  readonly pieces: number;
};

/** Late report of an engine's load. */
export type LoadReport = {
  readonly role: EngineRole;
  readonly queuedPrefillTokens: number;
  readonly decodeStreams: number;
  readonly decodePlaces: number;
  readonly freePieces: number;
  readonly totalPieces: number;
  readonly loadedTargets: readonly ModelTarget[];
  /** Greatest fencing number that the engine has seen. */
  readonly fencingNumber: FencingNumber;
  /** When the engine measured this. */
  readonly measuredAt: number;
};

/** A late change of an engine's prefix cache. `sequence` has gaps where events were lost. */
export type CacheEvent = {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixes: readonly PrefixHash[];
};

/** Orders an engine to change what it serves. */
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

/** What became of an order. */
export type EngineOrderResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'fenced'; readonly fencingNumber: FencingNumber };
