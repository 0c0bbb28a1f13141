import type { DataCentre, ServiceName, SoftwareVersion, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import type { UpstreamRecord } from './routing-types.js';
import { askSend, listRefusedUpstreams, listUsableUpstreams } from './send-clearance.js';
import { recordLimit, recordPause, recordPermitWait } from './upstream-beliefs.js';
import {
  applyUpstreamChanges,
  dropLapsed,
  makeUpstreamList,
  recordLeaving,
  startGracePeriod,
  type UpstreamList,
} from './upstream-list.js';

const SERVICE = 'llm' as ServiceName;
const IDS = ['a', 'b'] as UpstreamId[];
const STEP_MS = 100;
const PAUSE_MS = 350;
/** Answers take this long, so that one may overtake another. */
const ANSWER_MS = 150;

/** Each incarnation runs a software version of its own. */
function getVersion(incarnation: number): SoftwareVersion {
  return `v${incarnation}` as SoftwareVersion;
}

function buildRecord(
  upstreamId: UpstreamId,
  incarnation: number,
  isLeaving: boolean,
): UpstreamRecord {
  const place = { address: '10.0.0.1:80', dataCentre: 'saddar' as DataCentre };
  const softwareVersion = getVersion(incarnation);
  const fields = { service: SERVICE, slots: 1, stage: undefined, orderCount: 0, softwareVersion };
  return { upstreamId, incarnation, isLeaving, ...place, ...fields };
}

const STEP = fc.record({
  kind: fc.constantFrom(
    'registers' as const,
    'restarts' as const,
    'drains' as const,
    'removed' as const,
    'unreadable' as const,
    'store-back' as const,
    'store-restored' as const,
    'late-row' as const,
    'answers-leaving' as const,
    'peer-says-leaving' as const,
    'answers-pause' as const,
    'answers-plain' as const,
    'answers-limit' as const,
    'overtaken-answer' as const,
    'peer-tells-limit' as const,
    'keeper-has-no-permit' as const,
    'vm-restarts' as const,
  ),
  id: fc.constantFrom(...IDS),
});

/** What one server is and what it has told this VM, whatever the list believes. */
type Truth = {
  incarnation: number;
  /** Whether this VM has read the row of this incarnation. */
  isRead: boolean;
  isLeaving: boolean;
  isTold: boolean;
  pausedUntil: number;
  limit: number | undefined;
};

function makeTruth(incarnation: number): Truth {
  const unread = { isRead: false, isLeaving: false, isTold: false };
  return { incarnation, ...unread, pausedUntil: 0, limit: undefined };
}

/** One VM's list and the servers that it lists. */
class History {
  list: UpstreamList = makeUpstreamList();

  readonly truths = new Map<UpstreamId, Truth>(IDS.map((id) => [id, makeTruth(1)]));

  now = 0;

  getTruth(id: UpstreamId): Truth {
    return this.truths.get(id) as Truth;
  }

  setRow(id: UpstreamId, incarnation: number, isLeaving: boolean): void {
    const record = buildRecord(id, incarnation, isLeaving);
    applyUpstreamChanges(this.list, [{ upstreamId: id, record, isRemoved: false }], this.now);
    const truth = this.getTruth(id);
    if (incarnation < truth.incarnation) return;
    truth.isRead = true;
    truth.isTold ||= isLeaving;
  }

  dropRow(id: UpstreamId, isRemoved: boolean): void {
    const change = { upstreamId: id, record: undefined, isRemoved };
    applyUpstreamChanges(this.list, [change], this.now);
    this.getTruth(id).isRead &&= this.list.records.has(id);
  }

  /** A server answers without a limit, or with the one that it has, a request sent some time ago. */
  answer(id: UpstreamId, requestsPerSecond: number | undefined, tookMs: number): void {
    const { incarnation } = this.getTruth(id);
    const times = { sentAt: this.now - tookMs, heardAt: this.now };
    recordLimit(this.list.beliefs, { upstreamId: id, incarnation, requestsPerSecond, ...times });
  }

  /** A limit that is named, lowered or raised is told to this VM by an answer or by a peer. */
  nameLimit(id: UpstreamId): void {
    const truth = this.getTruth(id);
    truth.limit = ((truth.limit ?? 3) % 4) + 1;
    this.answer(id, truth.limit, 0);
  }

  playServer(kind: string, id: UpstreamId): boolean {
    const truth = this.getTruth(id);
    const { incarnation } = truth;
    const { beliefs } = this.list;
    switch (kind) {
      case 'answers-leaving':
      case 'peer-says-leaving':
        truth.isLeaving = true;
        truth.isTold = true;
        recordLeaving(this.list, { upstreamId: id, incarnation });
        return true;
      case 'answers-pause':
        truth.pausedUntil = this.now + PAUSE_MS;
        recordPause(beliefs, id, { incarnation, until: truth.pausedUntil });
        return true;
      case 'answers-plain':
        truth.limit = undefined;
        this.answer(id, undefined, 0);
        return true;
      case 'answers-limit':
      case 'peer-tells-limit':
        this.nameLimit(id);
        return true;
      case 'overtaken-answer':
        // Sent before the limit was named, so it ends none.
        this.nameLimit(id);
        this.answer(id, undefined, ANSWER_MS);
        return true;
      case 'keeper-has-no-permit':
        recordPermitWait(beliefs, id, { incarnation, until: this.now + PAUSE_MS });
        return true;
      default:
        return false;
    }
  }

  playStore(kind: string, id: UpstreamId): void {
    const truth = this.getTruth(id);
    const { incarnation, isLeaving } = truth;
    switch (kind) {
      case 'registers':
        this.setRow(id, incarnation, isLeaving);
        return;
      case 'restarts':
        this.truths.set(id, makeTruth(incarnation + 1));
        this.setRow(id, incarnation + 1, false);
        return;
      case 'drains':
        truth.isLeaving = true;
        this.setRow(id, incarnation, true);
        return;
      case 'removed':
      case 'unreadable':
        this.dropRow(id, kind === 'removed');
        return;
      case 'store-back':
        startGracePeriod(this.list, this.now);
        return;
      case 'store-restored':
        // The copy holds rows of before, also where the server has said since that it leaves.
        for (const [other, { incarnation: latest }] of this.truths) {
          this.setRow(other, Math.max(1, latest - 1), false);
        }
        return;
      case 'late-row':
        if (incarnation > 1) this.setRow(id, incarnation - 1, false);
        return;
      case 'vm-restarts': {
        // It knows nothing; its peers tell it who leaves and which limits hold when it is linked.
        this.list = makeUpstreamList();
        for (const [other, known] of this.truths) {
          known.isRead = false;
          known.pausedUntil = 0;
          if (known.isTold) {
            recordLeaving(this.list, { upstreamId: other, incarnation: known.incarnation });
          }
          if (known.limit !== undefined) this.answer(other, known.limit, 0);
        }
        return;
      }
      default:
        throw new Error(`unknown step ${kind}`);
    }
  }

  /** No question is answered by a server that this VM was told to leave alone. */
  check(): void {
    const { list, now } = this;
    for (const [id, truth] of this.truths) {
      const fields = { kind: 'request', softwareVersion: undefined } as const;
      const open = { ...fields, hasPermit: true, isQuarantined: false };
      const cleared = askSend(list, id, open, now).kind === 'cleared';
      expect(cleared && truth.isTold, 'leaving').to.equal(false);
      expect(cleared && truth.pausedUntil > now, 'paused').to.equal(false);
      const unpermitted = askSend(list, id, { ...open, hasPermit: false }, now).kind;
      expect(unpermitted === 'cleared' && truth.limit !== undefined, 'limited').to.equal(false);
      const isFree = truth.isRead && truth.limit === undefined;
      if (isFree) expect(unpermitted === 'cleared', 'free').to.equal(cleared);
      expect(askSend(list, id, { ...open, isQuarantined: true }, now).kind).to.equal('refused');
      const older = getVersion(truth.incarnation - 1);
      const crossed = askSend(list, id, { ...open, softwareVersion: older }, now).kind;
      expect(crossed === 'cleared' && truth.isRead, 'other version').to.equal(false);
      const old = { kind: 'order', incarnation: truth.incarnation - 1 } as const;
      expect(askSend(list, id, old, now).kind === 'cleared' && truth.isRead).to.equal(false);
    }
    const usable = listUsableUpstreams(list, SERVICE, now).map(({ upstreamId }) => upstreamId);
    const refused = listRefusedUpstreams(list, SERVICE, now);
    expect(
      refused.some(
        ({ reason, upstreamId }) => reason !== 'no-permit' && usable.includes(upstreamId),
      ),
    ).to.equal(false);
  }
}

it('upstream notices: nothing is sent to a server that this VM was told to leave alone, and none stays out for ever', () => {
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 60 }), (steps) => {
      const history = new History();
      for (const { kind, id } of steps) {
        history.now += STEP_MS;
        dropLapsed(history.list, history.now);
        if (!history.playServer(kind, id)) history.playStore(kind, id);
        for (const [other, truth] of history.truths) {
          truth.isRead &&= history.list.records.has(other);
        }
        history.check();
      }
      // A new incarnation that registers is used once no pause of its own runs.
      history.now += PAUSE_MS;
      for (const [id, { incarnation }] of history.truths) {
        history.setRow(id, incarnation + 1, false);
        const any = { softwareVersion: undefined, hasPermit: false, isQuarantined: false };
        const { kind } = askSend(history.list, id, { kind: 'request', ...any }, history.now);
        expect(kind).to.equal('cleared');
      }
    }),
  );
});
