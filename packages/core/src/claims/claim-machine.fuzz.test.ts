import { expect } from 'chai';
import fc from 'fast-check';
import { parseClaimRow, type Fingerprint, type TableRow } from '@tarragonspool/protocol';
import {
  findNextClaimTick,
  handleClaimEvent,
  isDispatchAllowed,
  makeClaimState,
} from './claim-machine.js';
import type { Claim, ClaimAction, ClaimEvent, ClaimState, ClaimVerdict } from './claim-types.js';

type TableCall = Extract<ClaimAction, { kind: 'transact' | 'read' }>;
type Transact = Extract<ClaimAction, { kind: 'transact' }>;
type Attempt = {
  vm: number;
  claim: Claim;
  verdict?: ClaimVerdict;
  step: 'new' | 'sent' | 'ended';
  isLostByRestart?: true;
};

/** A write takes effect at most this long after its deadline, or never. */
const MAX_WRITE_DELAY_MS = 3_000_000;
const RETENTION_MS = 86_400_000;

/** Simulates two VMs that share a table, which loses answers and applies writes with a delay. */
class TestCluster {
  now = 1_000_000;

  readonly vms: ClaimState[] = [makeClaimState(), makeClaimState()];

  readonly rows = new Map<string, TableRow>();

  calls: { vm: number; call: TableCall }[] = [];

  late: { call: Transact; appliedBefore: number }[] = [];

  attempts: Attempt[] = [];

  nextToken = 0;

  readonly swept = new Set<string>();

  readonly asked = new Map<string, Set<string>>();

  readonly effects = new Map<string, number>();

  readonly outcomes = new Map<string, string>();

  handle(vm: number, event: ClaimEvent): void {
    for (const action of handleClaimEvent(this.vms[vm] as ClaimState, event)) {
      switch (action.kind) {
        case 'transact':
        case 'read':
          this.calls.push({ vm, call: action });
          break;
        case 'answer':
          this.checkVerdict(action.token, action.verdict);
          break;
        case 'report-violation':
          throw new Error(`violation: ${action.invariant}`);
        default:
          break;
      }
    }
  }

  checkVerdict(token: string, verdict: ClaimVerdict): void {
    const found = this.attempts.find(({ claim }) => claim.token === token);
    if (found === undefined) return;
    expect(found.verdict, 'one verdict for each attempt').to.equal(undefined);
    found.verdict = verdict;
    const { rowKey } = found.claim;
    if (verdict.kind === 'recorded') {
      expect(verdict.outcome.body).to.equal(this.outcomes.get(rowKey));
    }
    if (verdict.kind !== 'reused') return;
    expect(this.asked.get(rowKey)?.size).to.be.greaterThan(1);
  }

  ask(vm: number, key: string, fingerprint: string): void {
    const { now } = this;
    this.nextToken += 1;
    const claim: Claim = {
      token: `t${this.nextToken}`,
      rowKey: key,
      fingerprint: fingerprint as Fingerprint,
      claimDeadline: now + 2_000,
      dispatchDeadline: now + 3_000,
      answerDeadline: now + 13_000,
      expiresAt: now + RETENTION_MS,
    };
    this.asked.set(key, (this.asked.get(key) ?? new Set()).add(fingerprint));
    this.attempts.push({ vm, claim, step: 'new' });
    this.handle(vm, { kind: 'claim-asked', claim, now });
  }

  transact({ writes }: Transact): TableRow[] | undefined {
    const conflicts: TableRow[] = [];
    let isConflict = false;
    for (const write of writes) {
      const row = this.rows.get(write.key);
      if (write.kind === 'insert' ? row === undefined : row?.version === write.ifVersion) continue;
      isConflict = true;
      if (row !== undefined) conflicts.push(row);
    }
    if (isConflict) return conflicts;
    for (const write of writes) {
      if (write.kind === 'delete') continue;
      const version = (this.rows.get(write.key)?.version ?? 0) + 1;
      this.rows.set(write.key, { key: write.key, value: write.value, version });
    }
    return undefined;
  }

  deliver(at: number, how: 'ok' | 'lost' | 'never' | 'late' | 'down'): void {
    const [taken] = this.calls.splice(at, 1);
    if (taken === undefined) return;
    const { vm, call } = taken;
    const { now } = this;
    const { batchId } = call;
    if (call.kind === 'read') {
      const rows = call.keys.flatMap((key) => this.rows.get(key) ?? []);
      const result =
        how === 'ok' ? ({ kind: 'rows', rows } as const) : ({ kind: 'unavailable' } as const);
      this.handle(vm, { kind: 'read', batchId, result, now });
      return;
    }
    const appliedBefore = call.deadline + MAX_WRITE_DELAY_MS;
    if (now >= appliedBefore) {
      this.handle(vm, { kind: 'transacted', batchId, result: { kind: 'lost' }, now });
      return;
    }
    if (how === 'late') this.late.push({ call, appliedBefore });
    const conflicts = how === 'ok' || how === 'lost' ? this.transact(call) : undefined;
    const seen =
      conflicts === undefined
        ? ({ kind: 'committed' } as const)
        : ({ kind: 'conflict', rows: conflicts } as const);
    const unseen = { kind: how === 'down' ? 'unavailable' : 'lost' } as const;
    this.handle(vm, { kind: 'transacted', batchId, result: how === 'ok' ? seen : unseen, now });
  }

  applyLateWrite(at: number): void {
    const [taken] = this.late.splice(at, 1);
    if (taken !== undefined && this.now < taken.appliedBefore) this.transact(taken.call);
  }

  send(at: number): void {
    const sendable = this.attempts.filter(
      (one) => one.step === 'new' && !one.isLostByRestart && one.verdict?.kind === 'claimed',
    );
    const found = sendable[at];
    if (found?.verdict === undefined) return;
    const { vm, claim } = found;
    if (!isDispatchAllowed(found.verdict, this.now)) {
      found.step = 'ended';
      const ending = { kind: 'not-run' } as const;
      this.handle(vm, { kind: 'ended', token: claim.token, ending, now: this.now });
      return;
    }
    found.step = 'sent';
    const count = (this.effects.get(claim.rowKey) ?? 0) + 1;
    this.effects.set(claim.rowKey, count);
    expect(count, `effects of ${claim.rowKey}`).to.equal(1);
  }

  end(at: number, isAnswered: boolean): void {
    const found = this.attempts.filter((one) => one.step === 'sent' && !one.isLostByRestart)[at];
    if (found === undefined) return;
    found.step = 'ended';
    const { token, rowKey } = found.claim;
    const outcome = {
      status: 200,
      contentType: 'text/plain',
      body: token,
      encoding: 'utf8',
    } as const;
    if (isAnswered) this.outcomes.set(rowKey, token);
    const ending = isAnswered
      ? ({ kind: 'answered', outcome } as const)
      : { kind: 'unknown' as const };
    this.handle(found.vm, { kind: 'ended', token, ending, now: this.now });
  }

  restart(vm: number): void {
    this.vms[vm] = makeClaimState();
    this.calls = this.calls.filter((one) => one.vm !== vm);
    this.attempts = this.attempts.filter((one) => one.vm !== vm || one.verdict !== undefined);
    for (const one of this.attempts) if (one.vm === vm) one.isLostByRestart = true;
  }

  sweep(key: string): void {
    const row = this.rows.get(key);
    const value = row && parseClaimRow(row.value);
    if (value === undefined || value.expiresAt > this.now) return;
    this.rows.delete(key);
    this.swept.add(key);
    this.effects.delete(key);
    this.outcomes.delete(key);
  }

  /** Checks that an attempt that was refused as not run left no claim behind. */
  checkReleased({ verdict, claim }: Attempt): void {
    const row = parseClaimRow(this.rows.get(claim.rowKey)?.value ?? '');
    const isLeft = row?.token === claim.token && row.state.kind === 'claimed';
    const isPending = this.now > claim.expiresAt - MAX_WRITE_DELAY_MS;
    if (verdict?.kind !== 'unavailable' || isPending || this.swept.has(claim.rowKey)) return;
    expect(isLeft, `${claim.token} left a claim`).to.equal(false);
  }

  advance(milliseconds: number): void {
    this.now += milliseconds;
    for (const vm of this.vms.keys()) this.handle(vm, { kind: 'ticked', now: this.now });
  }

  settle(): void {
    for (let step = 0; step < 500; step += 1) {
      while (this.calls.length > 0) this.deliver(0, 'ok');
      const ticks = this.vms.flatMap((vm) => findNextClaimTick(vm) ?? []);
      if (ticks.length === 0) break;
      this.advance(Math.max(1, Math.min(...ticks) - this.now));
    }
    for (const one of this.attempts) expect(one.verdict, one.claim.token).to.not.equal(undefined);
    for (const vm of this.vms) expect(vm.queue).to.deep.equal([]);
    while (this.late.length > 0) this.applyLateWrite(0);
    for (const one of this.attempts) if (!one.isLostByRestart) this.checkReleased(one);
  }
}

const at = fc.nat({ max: 3 });
const vm = fc.nat({ max: 1 });
const key = fc.constantFrom('k1', 'k2');
const step = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('ask' as const),
      vm,
      key,
      body: fc.constantFrom('a', 'a', 'a', 'b'),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      do: fc.constant('deliver' as const),
      at,
      how: fc.constantFrom('ok', 'ok', 'ok', 'lost', 'never', 'late', 'down' as const),
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('land' as const), at }) },
  { weight: 5, arbitrary: fc.record({ do: fc.constant('send' as const), at }) },
  {
    weight: 3,
    arbitrary: fc.record({ do: fc.constant('end' as const), at, isAnswered: fc.boolean() }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('restart' as const), vm }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('sweep' as const), key }) },
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('advance' as const),
      by: fc.constantFrom(5, 5, 5, 60, 1_100, 4_000, 20_000, RETENTION_MS),
    }),
  },
);
type Step = typeof step extends fc.Arbitrary<infer S> ? S : never;

function perform(cluster: TestCluster, one: Step): void {
  switch (one.do) {
    case 'ask':
      cluster.ask(one.vm, one.key, one.body);
      return;
    case 'deliver':
      cluster.deliver(one.at, one.how);
      return;
    case 'land':
      cluster.applyLateWrite(one.at);
      return;
    case 'send':
      cluster.send(one.at);
      return;
    case 'end':
      cluster.end(one.at, one.isAnswered);
      return;
    case 'restart':
      cluster.restart(one.vm);
      return;
    case 'sweep':
      cluster.sweep(one.key);
      return;
    default:
      cluster.advance(one.by);
  }
}

it('claims: a key has at most one effect and one outcome under faults', () => {
  const steps = fc.array(step, { minLength: 20, maxLength: 120, size: 'max' });
  fc.assert(
    fc.property(steps, (all) => {
      const cluster = new TestCluster();
      for (const one of all) perform(cluster, one);
      cluster.settle();
    }),
  );
});
