import { expect } from 'chai';
import fc from 'fast-check';
import type { EditId, RuleDelta, RuleRevision, TableRow, VmId } from '@tarragonspool/protocol';
import { applyHunks, compareLines } from './line-diff.js';
import { applyDelta, buildDocument, buildEmptyDocument, renderDocument } from './rule-document.js';
import { handleRulesEvent, isAdmitting, makeRulesState } from './rules-machine.js';
import { RETAINED_REVISIONS } from './rules-cleanup.js';
import { getDeltaKey, type RulesAction, type RulesState } from './rules-state.js';

const PEER = 'vm-2' as VmId;

function takeAction<K extends RulesAction['kind']>(
  actions: readonly RulesAction[],
  kind: K,
): Extract<RulesAction, { kind: K }> {
  const action = actions.find((candidate) => candidate.kind === kind);
  if (action === undefined) throw new Error(`no ${kind} action in ${JSON.stringify(actions)}`);
  return action as Extract<RulesAction, { kind: K }>;
}

function answerRead(
  state: RulesState,
  actions: readonly RulesAction[],
  rows: readonly TableRow[],
  now: number,
): RulesAction[] {
  const { callId } = takeAction(actions, 'read-rows');
  return handleRulesEvent(state, {
    kind: 'rows-read',
    callId,
    result: { kind: 'rows', rows },
    now,
  });
}

function makeReadyState(now: number): RulesState {
  const state = makeRulesState(1);
  answerRead(state, handleRulesEvent(state, { kind: 'ticked', now }), [], now);
  return state;
}

it('rules: a VM without table and peers stops admitting requests after four seconds', () => {
  const state = makeReadyState(1_000);
  expect(isAdmitting(state, 5_000)).to.equal(true);
  expect(isAdmitting(state, 5_001)).to.equal(false);
  const revision = 0 as RuleRevision;
  handleRulesEvent(state, { kind: 'peer-revision', vmId: PEER, revision, now: 6_000 });
  expect(isAdmitting(state, 9_000)).to.equal(true);
});

it('rules: a peer with a greater revision does not confirm the rules in force', () => {
  const state = makeReadyState(1_000);
  const revision = 3 as RuleRevision;
  const peerRevision = { kind: 'peer-revision', vmId: PEER, revision, now: 4_000 } as const;
  const wanted = takeAction(handleRulesEvent(state, peerRevision), 'want-rules');
  expect(wanted.afterRevision).to.equal(0);
  expect(isAdmitting(state, 5_001)).to.equal(false);
});

it('rules: a VM that starts while the table is unavailable uses the rules of a peer', () => {
  const state = makeRulesState(1);
  expect(isAdmitting(state, 1)).to.equal(false);
  const revision = 2 as RuleRevision;
  handleRulesEvent(state, { kind: 'peer-file', revision, text: 'allow a b # x\n', now: 5 });
  handleRulesEvent(state, { kind: 'peer-revision', vmId: PEER, revision, now: 6 });
  expect(isAdmitting(state, 7)).to.equal(true);
});

it('rules: an older file from a peer is ignored', () => {
  const state = makeRulesState(1);
  const send = (revision: number, text: string): RulesAction[] =>
    handleRulesEvent(state, {
      kind: 'peer-file',
      revision: revision as RuleRevision,
      text,
      now: 1,
    });
  send(5, 'allow a b # x\n');
  expect(send(4, 'allow c d # x\n')).to.deep.equal([]);
  expect(state.document?.revision).to.equal(5);
});

it('rules: an edit of an older revision is refused with the lines changed since then', () => {
  const state = makeReadyState(1_000);
  const edit = {
    editId: 'mine' as EditId,
    baseRevision: 0 as RuleRevision,
    author: 'me',
    text: 'allow a b # me\n',
    deadline: 9_000,
  };
  const delta: RuleDelta = {
    revision: 1 as RuleRevision,
    editId: 'theirs' as EditId,
    author: 'kumari',
    acceptedAt: 1,
    checksum: '',
    change: { kind: 'hunks', hunks: [{ at: 0, removed: [], added: ['allow c d # kumari'] }] },
  };
  const row = { key: 'rules/current', value: '{"revision":1,"editId":"theirs"}', version: 1 };
  const started = handleRulesEvent(state, { kind: 'edit-requested', edit, now: 2_000 });
  const readingDeltas = answerRead(state, started, [row], 2_001);
  const deltaRow = { key: 'rules/deltas/1', value: JSON.stringify(delta), version: 1 };
  const { outcome } = takeAction(
    answerRead(state, readingDeltas, [deltaRow], 2_002),
    'answer-edit',
  );
  if (outcome.kind !== 'refused') throw new Error('expected a refusal');
  expect(outcome.refusal.name).to.equal('stale-revision');
  expect(outcome.refusal.detail).to.include('+ allow c d # kumari');
});

it('rules: the hunks between any two files turn the older into the newer', () => {
  const lines = fc.array(fc.constantFrom<string>('a', 'b', 'c', 'd', ''), { maxLength: 30 });
  fc.assert(
    fc.property(lines, lines, (older, newer) => {
      const hunks = compareLines(older, newer);
      const applied = applyHunks(
        older,
        hunks,
        (line) => line,
        (line) => line,
      );
      expect(applied).to.deep.equal(newer);
    }),
  );
});

it('rules: a delta with a wrong checksum is not applied', () => {
  const change = {
    kind: 'hunks',
    hunks: [{ at: 0, removed: [], added: ['allow a b # x'] }],
  } as const;
  const base = { revision: 1 as RuleRevision, editId: 'e' as EditId, author: 'x', acceptedAt: 1 };
  const built = buildDocument('allow a b # x\n', base.revision);
  if (built.kind === 'errors') throw new Error('expected a document');
  const { checksum } = built.document;
  const applied = applyDelta(buildEmptyDocument(), { ...base, checksum, change });
  expect(applied && renderDocument(applied)).to.equal('allow a b # x\n');
  expect(applyDelta(buildEmptyDocument(), { ...base, checksum: '0', change })).to.equal(undefined);
});

it('rules: an accepted edit deletes the rows of the revision that is no longer retained', () => {
  const state = makeReadyState(1_000);
  const base = RETAINED_REVISIONS as RuleRevision;
  state.document = { ...buildEmptyDocument(), revision: base };
  const text = 'allow a b # me\n';
  const edit = { editId: 'e2' as EditId, baseRevision: base, author: 'me', text, deadline: 9_000 };
  const snapshot = { revision: base, editId: 'kept', checksum: '' };
  const value = JSON.stringify({ revision: base, editId: 'e1', snapshot });
  const started = handleRulesEvent(state, { kind: 'edit-requested', edit, now: 2_000 });
  const current = { key: 'rules/current', value, version: 7 };
  const committing = takeAction(answerRead(state, started, [current], 2_001), 'transact');
  const commit = { kind: 'transacted', callId: committing.callId, now: 2_002 } as const;
  const accepted = handleRulesEvent(state, { ...commit, result: { kind: 'committed' } });
  expect(takeAction(accepted, 'read-rows').keys).to.deep.equal([getDeltaKey(1)]);
  const old: RuleDelta = {
    revision: 1 as RuleRevision,
    editId: 'old' as EditId,
    author: 'me',
    acceptedAt: 1,
    checksum: '',
    change: { kind: 'hunks', hunks: [] },
  };
  const row = { key: getDeltaKey(1), value: JSON.stringify(old), version: 1 };
  const { writes } = takeAction(answerRead(state, accepted, [row], 2_003), 'transact');
  expect(writes.map(({ kind, key }) => `${kind} ${key}`)).to.deep.equal([
    `delete ${getDeltaKey(1)}`,
    'delete rules/edits/old',
  ]);
});
