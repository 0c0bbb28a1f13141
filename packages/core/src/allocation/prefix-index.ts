/**
 * Index of the prompt prefixes that engines probably cache. Engines report changes with delay and
 * gaps; a gap lowers the assumed accuracy of the engine's entries but removes none of them.
 */

import type { CacheEvent, PrefixHash } from '@tarragonspool/protocol';
import { PREFIX_BLOCK_CHARACTERS } from '../requests/prefix-hashes.js';
import type { Engine } from './engine-state.js';

/** Index from prefixes to engines and from engines to prefixes. */
export type PrefixIndex = {
  /** For each prefix, the indices of the engines that cache it. */
  readonly engines: Map<PrefixHash, Set<number>>;
  /** For each engine index, its prefixes from the least to the most recently used. */
  readonly prefixes: Map<number, Set<PrefixHash>>;
  /**
   * Buffer of the leading cached blocks by engine index, overwritten by each call of
   * `countCachedBlocks`.
   */
  blocks: Uint8Array;
  /** Share of the predicted hits that occurred, over the whole pool. */
  hitAccuracy: number;
};

const MAX_PREFIXES_PER_ENGINE = 2_048;
const MAX_BLOCKS_PER_GRANT = 16;
const CHARACTERS_PER_TOKEN = 4;
const BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
const ACCURACY_FACTOR_AFTER_GAP = 0.5;
const ENGINE_ACCURACY_SAMPLE_WEIGHT = 0.2;
const POOL_ACCURACY_SAMPLE_WEIGHT = 0.05;
const MIN_HIT_ACCURACY = 0.05;

/** Makes an empty index. */
export function makePrefixIndex(): PrefixIndex {
  return {
    engines: new Map(),
    prefixes: new Map(),
    blocks: new Uint8Array(0),
    hitAccuracy: 1,
  };
}

function removePrefix(prefixIndex: PrefixIndex, index: number, prefix: PrefixHash): void {
  prefixIndex.prefixes.get(index)?.delete(prefix);
  const engines = prefixIndex.engines.get(prefix);
  engines?.delete(index);
  if (engines?.size === 0) prefixIndex.engines.delete(prefix);
}

function addPrefix(prefixIndex: PrefixIndex, index: number, prefix: PrefixHash): void {
  const enginePrefixes = prefixIndex.prefixes.get(index) ?? new Set<PrefixHash>();
  prefixIndex.prefixes.set(index, enginePrefixes);
  enginePrefixes.delete(prefix);
  enginePrefixes.add(prefix);
  const engines = prefixIndex.engines.get(prefix) ?? new Set<number>();
  prefixIndex.engines.set(prefix, engines);
  engines.add(index);
  if (enginePrefixes.size <= MAX_PREFIXES_PER_ENGINE) return;
  const [leastRecent] = enginePrefixes;
  if (leastRecent !== undefined) removePrefix(prefixIndex, index, leastRecent);
}

/** Removes all prefixes of an engine that is gone. */
export function removeEnginePrefixes(prefixIndex: PrefixIndex, engine: Engine): void {
  for (const prefix of prefixIndex.prefixes.get(engine.index) ?? []) {
    removePrefix(prefixIndex, engine.index, prefix);
  }
  prefixIndex.prefixes.delete(engine.index);
}

/** Adds the leading prefixes of a prompt for the engine that was granted its prefill. */
export function addGrantedPrefixes(
  prefixIndex: PrefixIndex,
  engine: Engine,
  prefixes: readonly PrefixHash[],
): void {
  const count = Math.min(prefixes.length, MAX_BLOCKS_PER_GRANT);
  for (let block = 0; block < count; block += 1) {
    const prefix = prefixes[block];
    if (prefix !== undefined) addPrefix(prefixIndex, engine.index, prefix);
  }
}

/** Applies events of an engine's cache; events that were already applied are ignored. */
export function applyCacheEvents(
  prefixIndex: PrefixIndex,
  engine: Engine,
  events: readonly CacheEvent[],
): void {
  for (const event of events) {
    if (event.sequence <= engine.cacheSequence) continue;
    const isGap = engine.cacheSequence >= 0 && event.sequence > engine.cacheSequence + 1;
    if (isGap) engine.cacheHitAccuracy *= ACCURACY_FACTOR_AFTER_GAP;
    engine.cacheSequence = event.sequence;
    for (const prefix of event.prefixes) {
      if (event.kind === 'stored') addPrefix(prefixIndex, engine.index, prefix);
      else removePrefix(prefixIndex, engine.index, prefix);
    }
  }
}

/**
 * Counts for each engine index the leading blocks of a prompt that are probably cached. The result
 * is valid until the next call.
 */
export function countCachedBlocks(
  prefixIndex: PrefixIndex,
  prefixes: readonly PrefixHash[],
  engineCount: number,
): Uint8Array {
  if (prefixIndex.blocks.length < engineCount) prefixIndex.blocks = new Uint8Array(2 * engineCount);
  const { blocks } = prefixIndex;
  blocks.fill(0);
  for (let block = prefixes.length; block > 0; block -= 1) {
    const prefix = prefixes[block - 1];
    const engines = prefix === undefined ? undefined : prefixIndex.engines.get(prefix);
    if (engines === undefined) continue;
    for (const index of engines) {
      if (blocks[index] === 0) blocks[index] = block;
    }
    if (engines.size === prefixIndex.prefixes.size) break;
  }
  return blocks;
}

/** Predicts the cached prompt tokens on the engine that caches the most of them. */
export function predictBestCachedTokens(
  prefixIndex: PrefixIndex,
  prefixes: readonly PrefixHash[],
  promptTokens: number,
): number {
  for (let block = prefixes.length; block > 0; block -= 1) {
    const prefix = prefixes[block - 1];
    if (prefix !== undefined && prefixIndex.engines.has(prefix)) {
      return Math.min(promptTokens, block * BLOCK_TOKENS) * prefixIndex.hitAccuracy;
    }
  }
  return 0;
}

/** Predicts how many prompt tokens an engine has cached. */
export function predictCachedTokens(engine: Engine, blocks: number, promptTokens: number): number {
  return (
    Math.min(promptTokens, blocks * BLOCK_TOKENS) *
    Math.max(MIN_HIT_ACCURACY, engine.cacheHitAccuracy)
  );
}

/**
 * Updates the hit accuracy of an engine and of the pool from the predicted and actual cached tokens
 * of a prefill.
 */
export function addCacheHitSample(
  prefixIndex: PrefixIndex,
  engine: Engine,
  expectedTokens: number,
  cachedTokens: number,
): void {
  if (expectedTokens < BLOCK_TOKENS * MIN_HIT_ACCURACY) return;
  const indexedTokens = expectedTokens / Math.max(MIN_HIT_ACCURACY, engine.cacheHitAccuracy);
  const hitShare = Math.min(1, cachedTokens / Math.max(1, indexedTokens));
  engine.cacheHitAccuracy += ENGINE_ACCURACY_SAMPLE_WEIGHT * (hitShare - engine.cacheHitAccuracy);
  prefixIndex.hitAccuracy += POOL_ACCURACY_SAMPLE_WEIGHT * (hitShare - prefixIndex.hitAccuracy);
}
