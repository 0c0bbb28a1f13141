import { expect } from 'chai';
import fc from 'fast-check';
import {
  computeBound,
  measureWorstWindow,
  runPlay,
  measureCost,
  type Fault,
  type QuotaPlay,
} from './quota-test-kit.js';

const PLAY_MS = 18_000;
/** Long enough that a few requests more or less at its ends don't matter. */
const CALM_PLAY_MS = 40_000;
const RATES = [29_000, 60_000, 120_000];
const BURSTS_S = [0, 0.5, 2];
const FLEETS = [1, 3, 6, 12, 40, 73];
/** Asked-for cost as multiples of the limit: below it, at it, three and eight times. */
const DEMANDS = [0.3, 1, 3, 8];
const KINDS: Fault['kind'][] = [
  'killed',
  'frozen',
  'cut',
  'deaf',
  'mute',
  'lossy',
  'late',
  'repeating',
  'unfit',
];
const HUBS = 4;
const LARGEST_FLEET = 73;
/** From here on a calm fleet has settled. */
const SETTLED_MS = 3_000;
const LEAST_PART = 0.9;

const FAULT = fc
  .record({
    kind: fc.constantFrom(...KINDS),
    // The first VMs are the keepers, so half of the faults are theirs.
    vm: fc.oneof(fc.nat(HUBS), fc.nat(LARGEST_FLEET)),
    count: fc.oneof(
      { weight: 3, arbitrary: fc.constant(1) },
      { weight: 1, arbitrary: fc.integer({ min: 1, max: LARGEST_FLEET }) },
    ),
    from: fc.nat(PLAY_MS),
    forMs: fc.integer({ min: 100, max: 6_000 }),
  })
  .map(({ forMs, ...fault }): Fault => ({ ...fault, until: fault.from + forMs }));

const CALM = {
  vmCount: fc.constantFrom(...FLEETS),
  ratePerSecond: fc.constantFrom(...RATES),
  burstS: fc.constantFrom(...BURSTS_S),
  refusedLater: fc.constantFrom(0, 0.2),
  comesBack: fc.boolean(),
  seed: fc.nat(1_000_000),
};

const PLAY = fc
  .record({
    ...CALM,
    demands: fc.array(fc.constantFrom(...DEMANDS), { minLength: 1, maxLength: 4 }),
    onlyVm: fc.option(fc.constant(0), { nil: undefined }),
    faults: fc.array(FAULT, { maxLength: 8 }),
  })
  .map(({ burstS, ...play }): QuotaPlay => ({
    ...play,
    burst: burstS * play.ratePerSecond,
    forMs: PLAY_MS,
  }));

const CALM_PLAY = fc
  .record({ ...CALM, onlyVm: fc.option(fc.nat(LARGEST_FLEET), { nil: undefined }) })
  .map(({ burstS, ...play }): QuotaPlay => ({
    ...play,
    onlyVm: play.onlyVm === undefined ? undefined : play.onlyVm % play.vmCount,
    burst: burstS * play.ratePerSecond,
    demands: [3],
    forMs: CALM_PLAY_MS,
    faults: [],
  }));

it('quotas fuzz: no window exceeds the bound under kills, freezes, cuts and lost messages', () => {
  fc.assert(
    fc.property(PLAY, (play) => {
      const worst = measureWorstWindow(runPlay(play).runs);
      expect(worst).to.be.at.most(computeBound(play));
    }),
  );
}).timeout(600_000);

it('quotas fuzz: in calm a tenant that asks for three times its limit gets it', () => {
  fc.assert(
    fc.property(CALM_PLAY, (play) => {
      const { runs } = runPlay(play);
      const limit = (play.ratePerSecond * (CALM_PLAY_MS - SETTLED_MS)) / 1_000;
      expect(measureCost(runs, SETTLED_MS)).to.be.at.least(LEAST_PART * limit);
    }),
  );
}).timeout(600_000);
