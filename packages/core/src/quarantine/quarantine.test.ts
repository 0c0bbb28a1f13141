import { expect } from 'chai';
import type { Fingerprint, SuspectRecord, UpstreamId } from '@tarragonspool/protocol';
import {
  findContentStatus,
  handleQuarantineEvent,
  hasOpenQuestions,
  isAwaitingVerdict,
  listQuarantined,
  makeQuarantineState,
  type QuarantineAction,
  type QuarantineState,
} from './quarantine.js';

const ENGINE = 'e1' as UpstreamId;
const STREAM = 'stream' as Fingerprint;
const CRASHING = 'crashing' as Fingerprint;
const LOOKUP = 'lookup' as Fingerprint;
const OTHER_LOOKUP = 'other-lookup' as Fingerprint;

/** Records the crash of an engine that ran a stream with tokens. */
function recordCrash(state: QuarantineState, upstreamId = ENGINE, now = 0): QuarantineState {
  const broken = { kind: 'broken', upstreamId, fingerprint: STREAM, hasTokens: true, now } as const;
  handleQuarantineEvent(state, broken);
  handleQuarantineEvent(state, { kind: 'probed', upstreamId, isAlive: false, now: now + 150 });
  return state;
}

function listBlamed(state: QuarantineState, now: number): string[] {
  const blamed: string[] = [];
  for (const action of handleQuarantineEvent(state, { kind: 'ticked', now })) {
    if (action.kind !== 'publish') continue;
    for (const { fingerprint } of action.items) blamed.push(fingerprint);
  }
  return blamed;
}

it('quarantine: a stream with tokens is not blamed once a peer names another content', () => {
  const state = recordCrash(makeQuarantineState());
  expect(listBlamed(state, 300)).to.deep.equal([]);
  const item = { fingerprint: CRASHING, crashes: 1, lastUpstream: ENGINE, expiresAt: 9_999 };
  handleQuarantineEvent(state, { kind: 'heard', items: [item], now: 350 });
  expect(listBlamed(state, 400)).to.deep.equal([]);
  expect(listBlamed(state, 900)).to.deep.equal([]);
  expect(findContentStatus(state, STREAM, 900).kind).to.equal('clear');
});

it('quarantine: a stream with tokens is blamed where no peer names another content', () => {
  const state = recordCrash(makeQuarantineState());
  expect(listBlamed(state, 600)).to.deep.equal([]);
  expect(listBlamed(state, 700)).to.deep.equal([STREAM]);
});

it('quarantine: a stream with tokens continues on another engine while peers are awaited, but not after a second crash', () => {
  const state = recordCrash(makeQuarantineState());
  expect(findContentStatus(state, STREAM, 200).kind).to.equal('in-doubt');
  listBlamed(state, 300);
  expect(findContentStatus(state, STREAM, 301).kind).to.equal('clear');
  recordCrash(state, 'e2' as UpstreamId, 350);
  expect(findContentStatus(state, STREAM, 660).kind).to.equal('in-doubt');
});

/** Answers each probe that the machine asks for at `now`; returns what else it does. */
function answerProbes(state: QuarantineState, isAlive: boolean, now: number): QuarantineAction[] {
  const actions = handleQuarantineEvent(state, { kind: 'ticked', now });
  for (const action of [...actions]) {
    if (action.kind !== 'probe') continue;
    const { upstreamId } = action;
    actions.push(...handleQuarantineEvent(state, { kind: 'probed', upstreamId, isAlive, now }));
  }
  return actions;
}

function breakRun(state: QuarantineState, fingerprint: Fingerprint, now: number): void {
  const upstreamId = ENGINE;
  const broken = { kind: 'broken', upstreamId, fingerprint, hasTokens: false, now } as const;
  const actions = handleQuarantineEvent(state, broken);
  if (actions.length === 0) return;
  handleQuarantineEvent(state, { kind: 'probed', upstreamId, isAlive: true, now });
}

// Guards against a crash that counts for nothing, as the process took one more connection while it ended.
it('quarantine: a server that takes a connection while it ends has crashed', () => {
  const state = makeQuarantineState();
  breakRun(state, CRASHING, 0);
  answerProbes(state, false, 200);
  answerProbes(state, false, 300);
  expect(state.suspects.get(CRASHING)?.crashIds.length).to.equal(1);
});

// Guards against crashes that count for nothing at a server that had reset another connection just before.
it('quarantine: a run that breaks off at a server found alive has the server probed again', () => {
  const state = makeQuarantineState();
  breakRun(state, OTHER_LOOKUP, 0);
  answerProbes(state, true, 160);
  breakRun(state, CRASHING, 250);
  expect(answerProbes(state, true, 300)).to.deep.equal([]);
  answerProbes(state, false, 400);
  expect(state.suspects.get(CRASHING)?.crashIds.length).to.equal(1);
});

it('quarantine: at a live server where runs break off all the time each incident ends', () => {
  const state = makeQuarantineState();
  for (let now = 0; now < 1_200; now += 100) {
    if (now < 1_000) breakRun(state, CRASHING, now);
    answerProbes(state, true, now);
  }
  expect(hasOpenQuestions(state)).to.equal(false);
  expect(state.suspects.size).to.equal(0);
});

const CRASH_INTERVAL_MS = 2_000;

/** VMs that tell each other everything at once. */
function makeFleet(count: number) {
  const vms = Array.from({ length: count }, makeQuarantineState);
  let now = 0;
  const told: SuspectRecord[] = [];

  function handle(vm: number, event: Parameters<typeof handleQuarantineEvent>[1]): void {
    const state = vms[vm];
    if (state === undefined) return;
    for (const action of handleQuarantineEvent(state, event)) {
      if (action.kind !== 'publish') continue;
      told.push(...action.items);
      for (const [other, peer] of vms.entries()) {
        const heard = { kind: 'heard', items: action.items, now } as const;
        if (other !== vm) handleQuarantineEvent(peer, heard);
      }
    }
  }

  function wait(ms: number): void {
    now += ms;
    for (const vm of vms.keys()) handle(vm, { kind: 'ticked', now });
  }

  return {
    vms,
    told,
    wait,
    handle,
    getNow: () => now,
    succeed: (vm: number, fingerprint: Fingerprint) =>
      handle(vm, { kind: 'succeeded', fingerprint, now }),
    /** A server's crash under contents, each at a VM, and the time until all have judged it. */
    crash: (crashId: string, running: readonly (readonly [number, Fingerprint])[]) => {
      const upstreamId = crashId as UpstreamId;
      for (const [vm, fingerprint] of running) {
        const broken = {
          kind: 'broken',
          upstreamId,
          crashId,
          fingerprint,
          hasTokens: false,
        } as const;
        handle(vm, { ...broken, now });
        handle(vm, { kind: 'probed', upstreamId, isAlive: false, now });
      }
      wait(300);
      wait(200);
      wait(CRASH_INTERVAL_MS);
    },
    listRefused: (vm = 0): string[] => {
      const state = vms[vm];
      return state === undefined
        ? []
        : listQuarantined(state, now).map(({ fingerprint }) => fingerprint);
    },
  };
}

// Guards against lookups that are refused for an hour because a request that crashes servers ran beside them twice.
it('quarantine: contents that were answered are not refused for crashes beside one that never was', () => {
  const fleet = makeFleet(2);
  fleet.succeed(0, LOOKUP);
  fleet.succeed(1, OTHER_LOOKUP);
  for (const crashId of ['a', 'b']) {
    fleet.crash(crashId, [
      [0, LOOKUP],
      [0, CRASHING],
      [1, OTHER_LOOKUP],
    ]);
  }
  expect(fleet.listRefused(0)).to.deep.equal([CRASHING]);
  expect(fleet.listRefused(1)).to.deep.equal([CRASHING]);
  for (const state of fleet.vms) {
    expect(findContentStatus(state, LOOKUP, fleet.getNow()).kind).to.equal('clear');
  }
});

it('quarantine: contents that were at the same two crashes are told apart by an answer', () => {
  const fleet = makeFleet(2);
  for (const crashId of ['a', 'b']) {
    fleet.crash(crashId, [
      [0, CRASHING],
      [1, LOOKUP],
    ]);
  }
  expect([...fleet.listRefused(0), ...fleet.listRefused(1)]).to.deep.equal([]);
  fleet.succeed(1, LOOKUP);
  fleet.wait(100);
  expect(fleet.listRefused(0)).to.deep.equal([CRASHING]);
  expect(fleet.listRefused(1)).to.deep.equal([CRASHING]);
});

it('quarantine: contents that were at the same two crashes are told apart by a third', () => {
  const fleet = makeFleet(2);
  for (const crashId of ['a', 'b']) {
    fleet.crash(crashId, [
      [0, CRASHING],
      [1, LOOKUP],
    ]);
  }
  fleet.crash('c', [[1, CRASHING]]);
  expect(fleet.listRefused(0)).to.deep.equal([CRASHING]);
  const state = fleet.vms[1] ?? makeQuarantineState();
  expect(findContentStatus(state, LOOKUP, fleet.getNow()).kind).to.equal('clear');
});

it('quarantine: a content that was answered and crashes servers later is refused after five crashes', () => {
  const fleet = makeFleet(2);
  fleet.succeed(0, CRASHING);
  fleet.succeed(1, CRASHING);
  for (const [index, crashId] of ['a', 'b', 'c', 'd'].entries()) {
    fleet.crash(crashId, [
      [index % 2, CRASHING],
      [0, `own-${index}` as Fingerprint],
    ]);
  }
  expect(fleet.listRefused(0)).to.deep.equal([]);
  fleet.crash('e', [[0, CRASHING]]);
  expect(fleet.listRefused(0)).to.deep.equal([CRASHING]);
  expect(fleet.listRefused(1)).to.deep.equal([CRASHING]);
});

it('quarantine: one crash that several VMs saw counts once', () => {
  const fleet = makeFleet(3);
  fleet.crash('a', [
    [0, CRASHING],
    [1, CRASHING],
    [2, CRASHING],
  ]);
  expect(fleet.listRefused()).to.deep.equal([]);
  fleet.crash('b', [[1, CRASHING]]);
  for (const vm of [0, 1, 2]) expect(fleet.listRefused(vm)).to.deep.equal([CRASHING]);
});

it('quarantine: a content that may have crashed a second server waits for the verdict, one that was answered does not', () => {
  const fleet = makeFleet(1);
  const [state = makeQuarantineState()] = fleet.vms;
  fleet.succeed(0, LOOKUP);
  fleet.crash('a', [
    [0, CRASHING],
    [0, LOOKUP],
  ]);
  const upstreamId = 'b' as UpstreamId;
  for (const fingerprint of [CRASHING, LOOKUP]) {
    expect(isAwaitingVerdict(state, fingerprint)).to.equal(false);
    const now = fleet.getNow();
    fleet.handle(0, { kind: 'broken', upstreamId, fingerprint, hasTokens: false, now });
  }
  expect(isAwaitingVerdict(state, CRASHING)).to.equal(true);
  expect(isAwaitingVerdict(state, LOOKUP)).to.equal(false);
});

it('quarantine: an answer of a run that had begun before ends a refusal at all VMs', () => {
  const fleet = makeFleet(2);
  for (const crashId of ['a', 'b']) fleet.crash(crashId, [[0, LOOKUP]]);
  expect(fleet.listRefused(1)).to.deep.equal([LOOKUP]);
  fleet.succeed(1, LOOKUP);
  expect([...fleet.listRefused(0), ...fleet.listRefused(1)]).to.deep.equal([]);
});

// Guards against a VM that knows a content to be sound and refuses it on the word of one that has forgotten it.
it('quarantine: a VM that knows a content to be sound does not refuse it on the word of another', () => {
  const state = makeQuarantineState();
  handleQuarantineEvent(state, { kind: 'succeeded', fingerprint: LOOKUP, now: 0 });
  const item = { fingerprint: LOOKUP, crashes: 2, lastUpstream: ENGINE, expiresAt: 9_999 };
  handleQuarantineEvent(state, { kind: 'heard', items: [item], now: 1 });
  handleQuarantineEvent(state, { kind: 'ticked', now: 1_000 });
  expect(listQuarantined(state, 1_000)).to.deep.equal([]);
});
