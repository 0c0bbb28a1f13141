import type { DataCentre, ServiceName, SoftwareVersion, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import type { UpstreamRecord } from './routing-types.js';
import {
  applyUpstreamChanges,
  canTakeRequests,
  dropLapsed,
  listUsableUpstreams,
  makeUpstreamList,
  recordLeaving,
  recordPause,
  startGracePeriod,
} from './upstream-list.js';

const SERVICE = 'llm' as ServiceName;
const VERSION = 'v1' as SoftwareVersion;
const IDS = ['a', 'b'] as UpstreamId[];
const STEP_MS = 100;
const PAUSE_MS = 350;

function buildRecord(
  upstreamId: UpstreamId,
  incarnation: number,
  isLeaving: boolean,
): UpstreamRecord {
  const place = { address: '10.0.0.1:80', dataCentre: 'saddar' as DataCentre };
  const fields = {
    service: SERVICE,
    slots: 1,
    stage: undefined,
    orderCount: 0,
    softwareVersion: VERSION,
  };
  return { upstreamId, incarnation, isLeaving, ...place, ...fields };
}

const STEP = fc.record({
  kind: fc.constantFrom(
    'registers' as const,
    'registers-again' as const,
    'restarts' as const,
    'drains' as const,
    'removed' as const,
    'unreadable' as const,
    'store-back' as const,
    'old-row' as const,
    'answers-leaving' as const,
    'peer-says-leaving' as const,
    'answers-pause' as const,
    'answers-plain' as const,
  ),
  id: fc.constantFrom(...IDS),
});

/** What one server is and what it has told this VM, whatever the list believes. */
type Truth = { incarnation: number; isTold: boolean; pausedUntil: number };

it('upstream notices: no server is used that this VM was told to leave alone, and none stays out for ever', () => {
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 60 }), (steps) => {
      const list = makeUpstreamList();
      const truths = new Map<UpstreamId, Truth>(
        IDS.map((id) => [id, { incarnation: 1, isTold: false, pausedUntil: 0 }]),
      );
      let now = 0;
      const setRow = (id: UpstreamId, incarnation: number, isLeaving: boolean): void => {
        const record = buildRecord(id, incarnation, isLeaving);
        applyUpstreamChanges(list, [{ upstreamId: id, record, isRemoved: false }], now);
      };
      for (const { kind, id } of steps) {
        now += STEP_MS;
        dropLapsed(list, now);
        const truth = truths.get(id) as Truth;
        const { incarnation } = truth;
        switch (kind) {
          case 'registers':
          case 'registers-again':
            setRow(id, incarnation, false);
            break;
          case 'restarts':
            truth.incarnation += 1;
            truth.isTold = false;
            truth.pausedUntil = 0;
            setRow(id, truth.incarnation, false);
            break;
          case 'drains':
            truth.isTold = true;
            setRow(id, incarnation, true);
            break;
          case 'removed':
          case 'unreadable': {
            const isRemoved = kind === 'removed';
            applyUpstreamChanges(list, [{ upstreamId: id, record: undefined, isRemoved }], now);
            break;
          }
          case 'store-back':
            startGracePeriod(list, now);
            break;
          case 'old-row':
            if (incarnation > 1) setRow(id, incarnation - 1, false);
            break;
          case 'answers-leaving':
          case 'peer-says-leaving':
            truth.isTold = true;
            recordLeaving(list, { upstreamId: id, incarnation });
            break;
          case 'answers-pause':
            truth.pausedUntil = now + PAUSE_MS;
            recordPause(list, id, { incarnation, until: truth.pausedUntil }, now);
            break;
          case 'answers-plain':
            break;
          default:
            kind satisfies never;
        }
        for (const record of listUsableUpstreams(list, SERVICE, now)) {
          const told = truths.get(record.upstreamId) as Truth;
          expect(told.isTold, 'leaving').to.equal(false);
          expect(told.pausedUntil, 'paused').to.be.at.most(now);
        }
      }
      // A new incarnation that registers is used once no pause of its own runs.
      now += PAUSE_MS;
      for (const [id, { incarnation }] of truths) {
        setRow(id, incarnation + 1, false);
        const record = list.records.get(id);
        expect(record && canTakeRequests(list, record, now)).to.equal(true);
      }
    }),
  );
});
