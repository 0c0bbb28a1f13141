/** Keeps the traces of the most recent requests in memory. */

import type { RequestTrace } from './request-trace.js';

/** Recent requests of this VM. */
export type RequestJournal = {
  /** Adds a request; the oldest one makes room. */
  readonly add: (trace: RequestTrace) => void;
  /** Finds every request that carried the id, oldest first. */
  readonly find: (requestId: string) => readonly RequestTrace[];
  /** Lists every request kept, oldest first. */
  readonly list: () => Iterable<RequestTrace>;
  readonly count: () => number;
};

/** Makes an empty journal of at most `maxEntries` requests. */
export function makeRequestJournal(maxEntries: number): RequestJournal {
  const traces = new Set<RequestTrace>();
  return {
    add(trace) {
      if (maxEntries === 0) return;
      for (const oldest of traces) {
        if (traces.size < maxEntries) break;
        traces.delete(oldest);
      }
      traces.add(trace);
    },
    find: (requestId) => [...traces].filter((trace) => trace.requestId === requestId),
    list: () => traces,
    count: () => traces.size,
  };
}
