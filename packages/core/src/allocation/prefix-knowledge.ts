/**
 * Which engines are thought to cache which prompt prefixes. Engines tell late and with gaps; a gap
 * lowers the trust in what is known of the engine and forgets nothing.
 */

import type { CacheEvent, PrefixHash } from '@tarragonspool/protocol';
import { PREFIX_BLOCK_CHARACTERS } from '../requests/prefix-hashes.js';
import type { Engine } from './engine-state.js';

/** Prefixes by engine and engines by prefix. */
export type PrefixKnowledge = {
  /** For each prefix, the indices of the engines that cache it. */
  readonly engines: Map<PrefixHash, Set<number>>;
  /** For each engine index, its prefixes with the least recent first. */
  readonly prefixes: Map<number, Set<PrefixHash>>;
  /** Leading cached blocks by engine index, for one decision at a time. */
  blocks: Uint8Array;
  /** Share of the expected hits that came true on the whole pool. */
  trust: number;
};

const MAX_PREFIXES_PER_ENGINE = 2_048;
const MAX_BLOCKS_FROM_GRANT = 16;
const CHARACTERS_PER_TOKEN = 4;
const BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
const GAP_TRUST = 0.5;
const TRUST_WEIGHT = 0.2;
const POOL_TRUST_WEIGHT = 0.05;
const MIN_TRUST = 0.05;

/** Makes empty knowledge. */
export function makePrefixKnowledge(): PrefixKnowledge {
  return { engines: new Map(), prefixes: new Map(), blocks: new Uint8Array(0), trust: 1 };
}

function removePrefix(knowledge: PrefixKnowledge, index: number, prefix: PrefixHash): void {
  knowledge.prefixes.get(index)?.delete(prefix);
  const engines = knowledge.engines.get(prefix);
  engines?.delete(index);
  if (engines?.size === 0) knowledge.engines.delete(prefix);
}

function addPrefix(knowledge: PrefixKnowledge, index: number, prefix: PrefixHash): void {
  const own = knowledge.prefixes.get(index) ?? new Set<PrefixHash>();
  knowledge.prefixes.set(index, own);
  own.delete(prefix);
  own.add(prefix);
  const engines = knowledge.engines.get(prefix) ?? new Set<number>();
  knowledge.engines.set(prefix, engines);
  engines.add(index);
  if (own.size <= MAX_PREFIXES_PER_ENGINE) return;
  const [oldest] = own;
  if (oldest !== undefined) removePrefix(knowledge, index, oldest);
}

/** Forgets everything of an engine that is gone. */
export function removeEnginePrefixes(knowledge: PrefixKnowledge, engine: Engine): void {
  for (const prefix of knowledge.prefixes.get(engine.index) ?? []) {
    removePrefix(knowledge, engine.index, prefix);
  }
  knowledge.prefixes.delete(engine.index);
}

/** Expects the prefixes of a prompt on the engine that was ordered to prefill it. */
export function addGrantedPrefixes(
  knowledge: PrefixKnowledge,
  engine: Engine,
  prefixes: readonly PrefixHash[],
): void {
  const count = Math.min(prefixes.length, MAX_BLOCKS_FROM_GRANT);
  for (let block = 0; block < count; block += 1) {
    const prefix = prefixes[block];
    if (prefix !== undefined) addPrefix(knowledge, engine.index, prefix);
  }
}

/** Takes events of an engine's cache; old ones are ignored. */
export function applyCacheEvents(
  knowledge: PrefixKnowledge,
  engine: Engine,
  events: readonly CacheEvent[],
): void {
  for (const event of events) {
    if (event.sequence <= engine.cacheSequence) continue;
    const isGap = engine.cacheSequence >= 0 && event.sequence > engine.cacheSequence + 1;
    if (isGap) engine.cacheTrust *= GAP_TRUST;
    engine.cacheSequence = event.sequence;
    for (const prefix of event.prefixes) {
      if (event.kind === 'stored') addPrefix(knowledge, engine.index, prefix);
      else removePrefix(knowledge, engine.index, prefix);
    }
  }
}

/**
 * Counts for each engine index the leading blocks of a prompt that are thought to be cached. The result
 * is valid until the next call.
 */
export function countCachedBlocks(
  knowledge: PrefixKnowledge,
  prefixes: readonly PrefixHash[],
  engineCount: number,
): Uint8Array {
  if (knowledge.blocks.length < engineCount) knowledge.blocks = new Uint8Array(2 * engineCount);
  const { blocks } = knowledge;
  blocks.fill(0);
  for (let block = prefixes.length; block > 0; block -= 1) {
    const prefix = prefixes[block - 1];
    const engines = prefix === undefined ? undefined : knowledge.engines.get(prefix);
    if (engines === undefined) continue;
    for (const index of engines) {
      if (blocks[index] === 0) blocks[index] = block;
    }
    if (engines.size === knowledge.prefixes.size) break;
  }
  return blocks;
}

/** Predicts the tokens that need not be computed on the engine that caches the most. */
export function predictBestCachedTokens(
  knowledge: PrefixKnowledge,
  prefixes: readonly PrefixHash[],
  promptTokens: number,
): number {
  for (let block = prefixes.length; block > 0; block -= 1) {
    const prefix = prefixes[block - 1];
    if (prefix !== undefined && knowledge.engines.has(prefix)) {
      return Math.min(promptTokens, block * BLOCK_TOKENS) * knowledge.trust;
    }
  }
  return 0;
}

/** Predicts how many prompt tokens an engine need not compute. */
export function predictCachedTokens(engine: Engine, blocks: number, promptTokens: number): number {
  return Math.min(promptTokens, blocks * BLOCK_TOKENS) * Math.max(MIN_TRUST, engine.cacheTrust);
}

/** Learns from a prefill how far the knowledge of an engine can be trusted. */
export function addCacheSample(
  knowledge: PrefixKnowledge,
  engine: Engine,
  expected: number,
  actual: number,
): void {
  if (expected < BLOCK_TOKENS * MIN_TRUST) return;
  const rawExpected = expected / Math.max(MIN_TRUST, engine.cacheTrust);
  const share = Math.min(1, actual / Math.max(1, rawExpected));
  engine.cacheTrust += TRUST_WEIGHT * (share - engine.cacheTrust);
  knowledge.trust += POOL_TRUST_WEIGHT * (share - knowledge.trust);
}
