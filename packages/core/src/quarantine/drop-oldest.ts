/** Bounds maps and sets that keep their entries in the order in which they came. */

type KeyedCollection<K> = {
  readonly size: number;
  readonly keys: () => Iterable<K>;
  readonly delete: (key: K) => boolean;
};

/** Drops the oldest entry of a map or set that has grown beyond `max`; returns its key. */
export function dropOldest<K>(collection: KeyedCollection<K>, max: number): K | undefined {
  if (collection.size <= max) return undefined;
  const [oldest] = collection.keys();
  if (oldest !== undefined) collection.delete(oldest);
  return oldest;
}
