/** Prefix cache of limited size, least recently used first out, with late and lossy events. */

import type { CacheEvent, PrefixHash } from '@tarragonspool/protocol';

type PublishedEvent = CacheEvent & { readonly publishedAt: number };

/** Sizes of a prefix cache. */
export type PrefixCacheOptions = {
  readonly blocks: number;
  /** Every so many events one is lost. */
  readonly eventGap: number;
  readonly eventLagMs: number;
};

const MAX_EVENTS = 1_000;

/** A prefix cache. */
export class PrefixCache {
  private readonly options: PrefixCacheOptions;

  private readonly blocks = new Set<PrefixHash>();

  private events: PublishedEvent[] = [];

  private sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.options = options;
  }

  /** Counts the leading blocks that are cached, and marks them as used. */
  countHits(prefixes: readonly PrefixHash[]): number {
    let hits = 0;
    for (const prefix of prefixes) {
      if (!this.blocks.delete(prefix)) break;
      this.blocks.add(prefix);
      hits += 1;
    }
    return hits;
  }

  /** Stores the blocks of a prompt and evicts what no longer fits. */
  add(prefixes: readonly PrefixHash[], now: number): void {
    const stored = prefixes.filter((prefix) => !this.blocks.has(prefix));
    for (const prefix of stored) this.blocks.add(prefix);
    const evicted: PrefixHash[] = [];
    for (const prefix of this.blocks) {
      if (this.blocks.size <= this.options.blocks) break;
      this.blocks.delete(prefix);
      evicted.push(prefix);
    }
    this.addEvent('stored', stored, now);
    this.addEvent('evicted', evicted, now);
  }

  private addEvent(kind: CacheEvent['kind'], prefixes: readonly PrefixHash[], now: number): void {
    if (prefixes.length === 0) return;
    this.sequence += 1;
    if (this.sequence % this.options.eventGap === 0) return;
    const publishedAt = now + this.options.eventLagMs;
    this.events.push({ sequence: this.sequence, kind, prefixes, publishedAt });
    if (this.events.length > MAX_EVENTS) this.events = this.events.slice(-MAX_EVENTS / 2);
  }

  /** Lists the published events with a greater sequence. */
  readEvents(after: number, now: number): { events: CacheEvent[]; latest: number } {
    const events: CacheEvent[] = [];
    let latest = 0;
    for (const { publishedAt, ...event } of this.events) {
      if (publishedAt > now) break;
      latest = event.sequence;
      if (event.sequence > after) events.push(event);
    }
    return { events, latest };
  }
}
