/** Seeded random numbers for schedules and arrivals. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of random numbers. */
export type Random = {
  /** From 0, below 1. */
  readonly takeFloat: () => number;
  /** Both ends included. */
  readonly takeInt: (from: number, to: number) => number;
  readonly take: <T>(items: readonly T[]) => T;
  /** Gap of a Poisson process. */
  readonly takeGap: (ratePerMs: number) => number;
};

/** Makes a source; equal seeds give equal numbers. */
export function makeRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const takeFloat = (): number => uniformFloat64(generator);
  const takeInt = (from: number, to: number): number => uniformInt(generator, from, to);
  return {
    takeFloat,
    takeInt,
    take: (items) => items[takeInt(0, items.length - 1)] as (typeof items)[number],
    takeGap: (ratePerMs) => -Math.log(1 - takeFloat()) / ratePerMs,
  };
}
