/** What a shard keeps of its forecasts for a few milliseconds. */

/** Start times of a long queue, kept for a few milliseconds. */
export type QueueForecast = {
  readonly madeAt: number;
  readonly ranks: Float64Array;
  readonly starts: Float64Array;
  /** Least slack of a request at or behind each position. */
  readonly slacks: Float64Array;
};

/** Counts over the engines that can be given work. */
export type PoolSummary = {
  readonly madeAt: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly places: number;
  readonly takenPlaces: number;
  readonly freePlaces: number;
};
