/** Claim ledger: processor time and calls of the table against claims in one group. */

import { handleClaimEvent, makeClaimState } from '../../packages/core/dist/index.js';
import { measureCpu, measureKept } from './measure.js';

const START = 1_000_000;
const COPIES = 20;

function makeClaim(index, now) {
  return {
    token: `token-${index}`,
    rowKey: `claims/org-${index % 2_500}/key-${index}`,
    fingerprint: 'f'.repeat(64),
    claimDeadline: now + 2_000,
    dispatchDeadline: now + 3_000,
    answerDeadline: now + 13_000,
    expiresAt: now + 86_400_000,
  };
}

/** Plays the table: every transaction commits, every read finds nothing. */
function answerCalls(state, actions, now, counts) {
  const open = [...actions];
  for (let action = open.shift(); action !== undefined; action = open.shift()) {
    if (action.kind === 'transact') {
      counts.transactions += 1;
      counts.rows += action.writes.length;
      const { batchId, writes } = action;
      for (const { key } of writes) counts.versions.set(key, (counts.versions.get(key) ?? 0) + 1);
      const event = { kind: 'transacted', batchId, result: { kind: 'committed' }, now };
      open.push(...handleClaimEvent(state, event));
    } else if (action.kind === 'read') {
      counts.reads += 1;
      const { batchId } = action;
      const event = { kind: 'read', batchId, result: { kind: 'rows', rows: [] }, now };
      open.push(...handleClaimEvent(state, event));
    } else if (action.kind === 'answer' && action.verdict.kind === 'claimed') {
      counts.claimed.push(action.token);
    }
  }
}

function runGroup(state, size, first, counts) {
  const now = START + first * 100;
  const actions = [];
  for (let index = 0; index < size; index += 1) {
    const claim = makeClaim(first + index, now);
    actions.push(...handleClaimEvent(state, { kind: 'claim-asked', claim, now }));
  }
  answerCalls(state, actions, now, counts);
  answerCalls(state, handleClaimEvent(state, { kind: 'ticked', now: now + 10 }), now + 10, counts);
  const outcome = { status: 200, contentType: 'application/json', body: '{"ok":true}' };
  const ending = { kind: 'answered', outcome };
  const ended = counts.claimed
    .splice(0)
    .flatMap((token) => handleClaimEvent(state, { kind: 'ended', token, ending, now: now + 20 }));
  answerCalls(state, ended, now + 20, counts);
  answerCalls(state, handleClaimEvent(state, { kind: 'ticked', now: now + 40 }), now + 40, counts);
}

function makeCounts() {
  return { transactions: 0, rows: 0, reads: 0, versions: new Map(), claimed: [] };
}

/** Measures the ledger. */
export function measureClaims() {
  const [cpu, calls, held] = [[], [], []];
  for (const size of [1, 8, 64]) {
    const state = makeClaimState();
    const counts = makeCounts();
    const runs = Math.ceil(4_000 / size);
    const value = measureCpu(runs, (run) => runGroup(state, size, run * size, counts));
    cpu.push({ size, value });
    const claims = counts.versions.size;
    calls.push({ size, value: counts.transactions / (claims / size) });
  }
  for (const size of [100, 400, 1_000]) {
    const { bytes } = measureKept(() => {
      const state = makeClaimState();
      const counts = makeCounts();
      for (let index = 0; index < size; index += 1) {
        const claim = makeClaim(index, START);
        const event = { kind: 'claim-asked', claim, now: START + index };
        answerCalls(state, handleClaimEvent(state, event), START + index, counts);
      }
      const event = { kind: 'ticked', now: START + size + 10 };
      answerCalls(state, handleClaimEvent(state, event), START + size + 10, counts);
      counts.versions.clear();
      return state;
    }, COPIES);
    held.push({ size, value: bytes });
  }
  const role = 'claim ledger';
  return [
    {
      role,
      what: 'processor time of a group: claim and recorded answer of each',
      unit: 'µs',
      per: 'claim',
      points: cpu,
    },
    {
      role,
      what: 'transactions for a group: claim and recorded answer of each',
      unit: 'transactions',
      per: 'claim',
      points: calls,
    },
    { role, what: 'state of claims under way', unit: 'bytes', per: 'claim', points: held },
  ];
}
