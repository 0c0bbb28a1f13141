/** Types of the forecasts that a shard caches for a few milliseconds. */

/** Predicted start times of a long queue, by position. */
export type QueueForecast = {
  readonly computedAt: number;
  readonly ranks: Float64Array;
  readonly starts: Float64Array;
  /** Least slack (ms) of any request at or behind each position. */
  readonly slacks: Float64Array;
};

/** Totals over the engines that can be given work. */
export type PoolSummary = {
  readonly computedAt: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly slots: number;
  readonly takenSlots: number;
  readonly freePlaces: number;
};
