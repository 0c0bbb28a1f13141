import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type PoolAction } from './index.js';
import {
  buildArrivals,
  buildEngine,
  buildPool,
  buildSlotRequest,
  runArrivals,
} from './pool-test-kit.js';

const LIMITED = 'd1' as UpstreamId;
const LIMIT = 2;
const UNTIL_MS = 10_000;
const ENGINES = [
  buildEngine('p', { stage: 'prefill' }),
  buildEngine('d1', { requestsPerSecond: LIMIT, slots: 100 }),
  buildEngine('d2'),
];

type Grant = Extract<PoolAction, { kind: 'grant' }>;

// Guards against a pool that sends an engine more than the limit that it named.
it('limits: a pool paces the grants of an engine that names a limit, and uses the limit', () => {
  const state = buildPool(ENGINES);
  const grants: Grant[] = [];
  runArrivals(state, buildArrivals(0, UNTIL_MS, 8), UNTIL_MS, (action) => {
    if (action.kind === 'grant') grants.push(action);
  });
  const limited = grants.filter(({ decode }) => decode === LIMITED);
  expect(limited.length).to.be.within(0.8 * LIMIT * 10, LIMIT * 10 + 1);
  for (const { permits } of limited) expect(permits).to.deep.equal([LIMITED]);
  const others = grants.filter(({ decode }) => decode !== LIMITED);
  expect(others.length).to.be.greaterThan(0);
  for (const { permits } of others) expect(permits).to.deep.equal([]);
});

it('limits: a prefill engine that names a limit gets no more prompts than that; decode engines prefill the rest', () => {
  const [prefill, , decode] = ENGINES;
  if (prefill === undefined || decode === undefined) throw new Error('no engines');
  const state = buildPool([{ ...prefill, requestsPerSecond: 1 }, decode]);
  let prefilled = 0;
  let local = 0;
  runArrivals(state, buildArrivals(0, UNTIL_MS, 2), UNTIL_MS, (action) => {
    if (action.kind !== 'grant') return;
    if (action.prefill === undefined) local += 1;
    else prefilled += 1;
  });
  expect(prefilled).to.be.within(8, 11);
  expect(local).to.be.greaterThan(0);
});

// Guards against two VMs that both give out the permits of an engine.
it('limits: a VM that does not keep the permits grants no engine that names a limit', () => {
  const state = buildPool(ENGINES);
  state.keepsPermits = false;
  const decodes = new Set<UpstreamId>();
  for (let now = 0; now < 2_000; now += 200) {
    const slotRequest = buildSlotRequest(now);
    for (const action of handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, now)) {
      if (action.kind === 'grant') decodes.add(action.decode);
    }
  }
  expect([...decodes]).to.deep.equal(['d2']);
});

it('limits: when every decode engine is limited, requests beyond the limits are refused at once', () => {
  const state = buildPool([
    buildEngine('p', { stage: 'prefill' }),
    buildEngine('d1', { requestsPerSecond: 1 }),
    buildEngine('d2', { requestsPerSecond: 1 }),
  ]);
  const result = runArrivals(state, buildArrivals(0, UNTIL_MS, 10), UNTIL_MS);
  expect(result.granted).to.be.within(15, 22);
  const atOnce = result.refusedAfterMs.filter((waitedMs) => waitedMs < 10);
  expect(atOnce.length).to.be.greaterThan(0.8 * result.refused);
});
