/** Seeded random numbers for the allocator. */

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Source of random numbers; the same seed gives the same sequence. */
export type Random = RandomGenerator;

const FRACTION_STEPS = 1_000_000;

/** Makes a source from a seed. */
export function makeRandom(seed: number): Random {
  return xoroshiro128plus(seed);
}

/** Takes an integer from 0 to `limit` - 1. */
export function takeIndex(random: Random, limit: number): number {
  return uniformInt(random, 0, limit - 1);
}

/** Takes a fraction from 0 (inclusive) to 1 (exclusive). */
export function takeFraction(random: Random): number {
  return takeIndex(random, FRACTION_STEPS) / FRACTION_STEPS;
}
