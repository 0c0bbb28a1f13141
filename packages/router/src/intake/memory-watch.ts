/** Collects garbage in time: buffers that were read and are not used any more must not exceed the machine's memory. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { chooseCollection, type Collection, type MemoryUse } from '@tarragonspool/core';

/** Collects all garbage, or that of young objects only. */
export type CollectGarbage = (kind: Exclude<Collection, 'none'>) => void;

/** What the watch works with. */
export type MemoryWatchParts = {
  /** Memory of the machine, in bytes. */
  readonly getMemoryBytes: () => number;
  readonly measureUse: () => MemoryUse;
  readonly collect: CollectGarbage;
  readonly onCollected: (kind: Exclude<Collection, 'none'>) => void;
};

/** Watches the memory of this process. */
export type MemoryWatch = {
  /** Records bytes that were read, or memory that was taken otherwise; collects garbage if that is due. */
  readonly recordTaken: (bytes: number) => void;
};

/** The memory is measured each time so many bytes were taken. */
const MEASURE_INTERVAL_BYTES = 1_048_576;

/** Measures the memory of this process. */
export function measureMemoryUse(): MemoryUse {
  const { rss, heapUsed, external } = process.memoryUsage();
  return { residentBytes: rss, usedBytes: heapUsed + external };
}

/** Makes the function that collects garbage; the runtime offers it on request only. */
export function makeGarbageCollector(): CollectGarbage {
  let run: NodeJS.GCFunction | undefined;
  return (kind) => {
    if (run === undefined) {
      setFlagsFromString('--expose-gc');
      run = runInNewContext('gc') as NodeJS.GCFunction;
    }
    run({ type: kind === 'young' ? 'minor' : 'major', execution: 'sync' });
  };
}

/** Makes the watch of one process. */
export function makeMemoryWatch(parts: MemoryWatchParts): MemoryWatch {
  let takenBytes = 0;
  let keptBytes = 0;

  function collectIfDue(hasCollectedYoung: boolean): void {
    const use = parts.measureUse();
    const bounds = { memoryBytes: parts.getMemoryBytes(), keptBytes };
    const collection = chooseCollection(use, bounds, hasCollectedYoung);
    if (collection === 'none') return;
    parts.collect(collection);
    parts.onCollected(collection);
    if (collection === 'young') collectIfDue(true);
    else keptBytes = parts.measureUse().usedBytes;
  }

  return {
    recordTaken: (bytes) => {
      takenBytes += bytes;
      if (takenBytes < MEASURE_INTERVAL_BYTES) return;
      takenBytes = 0;
      collectIfDue(false);
    },
  };
}
