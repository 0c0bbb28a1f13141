/**
 * Shares work over many items by what it has cost so far (start-time fair queueing): of those that wait, the one
 * that has cost least so far comes next. An item that waited for nothing meanwhile begins at the share of the one that was
 * taken last, so that idle time gives it neither an advantage nor a debt.
 */

/** Items that wait for a piece of work. */
export type FairQueue<T extends object> = {
  /** Adds an item that does not wait yet. */
  readonly add: (item: T) => void;
  /** Takes the item that has had least; the first one of several. */
  readonly take: () => T | undefined;
  /** Charges an item that does not wait with the cost of its piece of work. */
  readonly charge: (item: T, cost: number) => void;
  readonly remove: (item: T) => void;
  /** What an item itself has cost since nothing waited last; where it began counts neither for nor against it. */
  readonly getCost: (item: T) => number;
  readonly count: () => number;
};

/** Makes a queue without items. */
export function makeFairQueue<T extends object>(): FairQueue<T> {
  /** The place of each item in the order: where it began, and what it has cost since. */
  const shares = new WeakMap<T, number>();
  /** What each item has cost since nothing waited last. */
  let costs = new WeakMap<T, number>();
  const waiting = new Map<T, number>();
  let latest = 0;

  function findLeast(): T | undefined {
    let least: T | undefined;
    let leastShare = Infinity;
    for (const [item, share] of waiting) {
      if (share >= leastShare) continue;
      least = item;
      leastShare = share;
    }
    return least;
  }

  return {
    add: (item) => {
      if (waiting.size === 0) costs = new WeakMap();
      if (!waiting.has(item)) waiting.set(item, Math.max(shares.get(item) ?? 0, latest));
    },
    take: () => {
      const item = findLeast();
      if (item === undefined) return undefined;
      latest = waiting.get(item) ?? latest;
      shares.set(item, latest);
      waiting.delete(item);
      return item;
    },
    charge: (item, cost) => {
      shares.set(item, (shares.get(item) ?? latest) + cost);
      costs.set(item, (costs.get(item) ?? 0) + cost);
    },
    remove: (item) => {
      waiting.delete(item);
    },
    getCost: (item) => costs.get(item) ?? 0,
    count: () => waiting.size,
  };
}
