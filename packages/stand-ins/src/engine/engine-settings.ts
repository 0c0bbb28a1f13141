/** Sizes and speeds of a stand-in engine. */

import type { EngineRole, UpstreamId } from '@tarragonspool/protocol';

/** Settings of one stand-in engine. */
export type EngineSettings = {
  readonly upstreamId: UpstreamId;
  /** `IP:port`. */
  readonly listen: string;
  readonly role: EngineRole;
  /** Model that is loaded at the start; empty if the engine takes any. */
  readonly model: string;
  /** Where weights are read from; empty for a load without delay. */
  readonly weightStoreUrl: string;
  readonly decodePlaces: number;
  readonly totalPieces: number;
  readonly tokensPerPiece: number;
  readonly prefillTokensPerMs: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerMs: number;
  /** Time of one decode step without streams, and what each stream adds. */
  readonly stepMs: number;
  readonly stepMsPerStream: number;
  /** How long a prefill result can be exported. */
  readonly kvKeptMs: number;
  /** How late load reports and cache events are. */
  readonly reportLagMs: number;
  /** Prefix blocks that the cache holds. */
  readonly cacheBlocks: number;
  /** Every so many cache events one is lost. */
  readonly cacheEventGap: number;
  /** Whether orders with an old fencing number are refused. */
  readonly isFencing: boolean;
};

/** Settings of an engine unless it is told otherwise. */
export const ENGINE_DEFAULTS = {
  role: 'prefill',
  model: '',
  weightStoreUrl: '',
  decodePlaces: 20,
  totalPieces: 1_000,
  tokensPerPiece: 64,
  prefillTokensPerMs: 25,
  kvBytesPerToken: 100_000,
  linkBytesPerMs: 10_000_000,
  stepMs: 15,
  stepMsPerStream: 1.25,
  kvKeptMs: 900,
  reportLagMs: 500,
  cacheBlocks: 256,
  cacheEventGap: 17,
  isFencing: true,
} as const;

/** Reads settings from a JSON argument. */
export function parseEngineSettings(text: string): EngineSettings {
  return { ...ENGINE_DEFAULTS, ...(JSON.parse(text) as Partial<EngineSettings>) } as EngineSettings;
}
