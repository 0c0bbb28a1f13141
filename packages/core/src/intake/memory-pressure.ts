/**
 * Decides when a process collects garbage. The runtime does so by the size of its heap; it does not know how small
 * its machine is, and lets tens of megabytes of buffers that nobody uses any more wait.
 */

/** What a process takes, in bytes. */
export type MemoryUse = {
  readonly residentBytes: number;
  /** Objects and buffers, those that wait to be collected among them. */
  readonly usedBytes: number;
};

/** What a process knows of its machine and of its latest whole collection. */
export type MemoryBounds = {
  readonly memoryBytes: number;
  /** What was used right after that collection. */
  readonly keptBytes: number;
};

/** Which objects are collected: none, those made lately, or all. */
export type Collection = 'none' | 'young' | 'all';

/** Below this share of the machine's memory the runtime decides by itself. */
const UNWATCHED_SHARE = 0.6;
/** As much may be garbage before it is collected, as a share of the machine's memory. */
const GARBAGE_SHARE = 1 / 16;

/** Chooses what is collected now; young objects first, which costs little. */
export function chooseCollection(
  { residentBytes, usedBytes }: MemoryUse,
  { memoryBytes, keptBytes }: MemoryBounds,
  hasCollectedYoung: boolean,
): Collection {
  if (residentBytes < UNWATCHED_SHARE * memoryBytes) return 'none';
  if (usedBytes - keptBytes < GARBAGE_SHARE * memoryBytes) return 'none';
  return hasCollectedYoung ? 'all' : 'young';
}
