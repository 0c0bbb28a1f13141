import { expect } from 'chai';
import type { Fingerprint, TableRow } from '@tarragonspool/protocol';
import { handleClaimEvent, makeClaimState } from './claim-machine.js';
import type { Claim, ClaimAction } from './claim-types.js';

function makeClaim(token: string, rowKey: string): Claim {
  const fingerprint = 'f' as Fingerprint;
  const times = { claimDeadline: 2_000, dispatchDeadline: 3_000, answerDeadline: 13_000 };
  return { token, rowKey, fingerprint, ...times, expiresAt: 86_400_000 };
}

function startClaims(tokens: readonly string[], rowKeys: readonly string[]) {
  const state = makeClaimState();
  for (const [index, token] of tokens.entries()) {
    const claim = makeClaim(token, rowKeys[index] ?? token);
    handleClaimEvent(state, { kind: 'claim-asked', claim, now: 0 });
  }
  return { state, actions: handleClaimEvent(state, { kind: 'ticked', now: 5 }) };
}

function findVerdicts(actions: readonly ClaimAction[]): Record<string, string> {
  const verdicts: Record<string, string> = {};
  for (const action of actions) {
    if (action.kind === 'answer') verdicts[action.token] = action.verdict.kind;
  }
  return verdicts;
}

it('claims: calls that arrive together share one transaction', () => {
  const { actions } = startClaims(['a', 'b', 'c'], []);
  expect(actions.map((action) => action.kind)).to.deep.equal(['transact']);
});

it('claims: two attempts to claim one key never share a transaction', () => {
  const { actions } = startClaims(['a', 'b'], ['k', 'k']);
  expect(actions).to.have.length(2);
});

it('claims: a conflict in one row does not keep the others from being claimed', () => {
  const { state } = startClaims(['a', 'b'], []);
  const value = JSON.stringify({ ...makeClaim('other', 'a'), state: { kind: 'claimed' } });
  const rows: TableRow[] = [{ key: 'a', value, version: 1 }];
  const conflict = { kind: 'conflict', rows } as const;
  const first = handleClaimEvent(state, {
    kind: 'transacted',
    batchId: 1,
    result: conflict,
    now: 9,
  });
  const result = { kind: 'committed' } as const;
  const second = handleClaimEvent(state, { kind: 'transacted', batchId: 2, result, now: 12 });
  expect(findVerdicts([...first, ...second])).to.deep.equal({ a: 'running', b: 'claimed' });
});

it('claims: an unavailable table refuses a claim at once and leaves its key free', () => {
  const { state } = startClaims(['a'], []);
  const result = { kind: 'unavailable' } as const;
  const actions = handleClaimEvent(state, { kind: 'transacted', batchId: 1, result, now: 9 });
  const verdict = { kind: 'unavailable', isKeyReserved: false };
  expect(actions).to.deep.equal([{ kind: 'answer', token: 'a', verdict }]);
});

it('claims: claims over the queue limit are refused', () => {
  const tokens = Array.from({ length: 1_100 }, (_, index) => `t${index}`);
  const state = makeClaimState();
  const actions: ClaimAction[] = [];
  for (const token of tokens) {
    const claim = makeClaim(token, token);
    actions.push(...handleClaimEvent(state, { kind: 'claim-asked', claim, now: 0 }));
  }
  expect(Object.values(findVerdicts(actions))).to.have.length(76);
});
