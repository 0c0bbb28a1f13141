/** What a soak run knows: the deployment, what was done to it, and the violations found. */

import type { ChildProcess } from 'node:child_process';
import { CRASH_EXIT_CODE, type AttemptWork } from '../engine/kv-content.js';
import { callJson, type Deployment, type EntryVm, type StandIn } from '../harness/deployment.js';
import { waitFor } from '../harness/processes.js';
import type { Outcome } from '../load/load-client.js';
import type { Site } from '../load/workload.js';

/** One call of a ledger: every answer that its submissions got. */
export type LedgerCall = {
  readonly effect: string;
  readonly answers: { status: number; ran: string | undefined; count: number | undefined }[];
};

/** A stretch in which a VM could not serve, with why. Epoch milliseconds. */
export type VmStretch = {
  readonly callerUrl: string;
  readonly from: number;
  readonly until: number;
};

/** The revision that a VM had in force at a time, in milliseconds since the epoch. */
export type RevisionSample = {
  readonly vmId: string;
  readonly callerUrl: string;
  readonly at: number;
  readonly revision: number;
  /** Whether the balancer sent it requests. */
  readonly isListed: boolean;
};

/** Whole state of a run. */
export type Soak = {
  readonly site: Site;
  readonly deployment: Deployment;
  readonly startedAt: number;
  /** Caller URLs that the balancer uses at the moment. */
  readonly callerUrls: string[];
  readonly violations: string[];
  readonly work: AttemptWork[];
  readonly outcomes: Outcome[];
  readonly duplicates: (readonly [Outcome, Outcome])[];
  readonly ledgerCalls: LedgerCall[];
  readonly plannedStops: VmStretch[];
  readonly hardStretches: VmStretch[];
  /** Rule texts by accepted revision, and texts whose edit was not settled. */
  readonly acceptedRules: Map<number, string>;
  readonly unsettledRules: Set<string>;
  readonly acceptedAt: Map<number, number>;
  readonly revisionSamples: RevisionSample[];
  /** Engines on the list as leaving, and since when. */
  readonly leavingSince: Map<string, number>;
  /** Children that this run ends on purpose. */
  readonly expectedExits: Set<ChildProcess>;
  deadlyPrompts: number;
  deadlyCrashes: number;
  isOver: boolean;
};

const RESTART_DELAY_MS = 500;
const READ_TIMEOUT_MS = 500;

/** Adds the work that an engine counted, so that it is known after the engine's end. */
export async function recordWork(soak: Soak, engine: StandIn): Promise<void> {
  const answer = await fetch(`${engine.url}/control/work`, {
    signal: AbortSignal.timeout(READ_TIMEOUT_MS),
  }).catch(() => undefined);
  if (answer === undefined) return;
  soak.work.push(...Object.values((await answer.json()) as Record<string, AttemptWork>));
}

function handleExit(soak: Soak, holder: EntryVm | StandIn, code: number | null): void {
  const isExpected = soak.expectedExits.delete(holder.process.child);
  const isEngine = soak.deployment.engines.some((engine) => engine === holder);
  if (isEngine && code === CRASH_EXIT_CODE) soak.deadlyCrashes += 1;
  if ('vmId' in holder && !isExpected) {
    soak.violations.push(`${holder.vmId} ended by itself with ${code ?? 'a signal'}`);
  }
}

/** Starts a process again whenever it ends, until the run is over. */
export function listenForExit(soak: Soak, holder: EntryVm | StandIn): void {
  holder.process.ended
    .then(async (code) => {
      if (soak.isOver) return;
      handleExit(soak, holder, code);
      await waitFor(RESTART_DELAY_MS);
      holder.process = holder.start();
      listenForExit(soak, holder);
    })
    .catch(() => undefined);
}

/** Sends a fault to a stand-in; a stand-in that is away at the moment misses it. */
export async function setFaults(url: string, faults: unknown): Promise<void> {
  await callJson(`${url}/control/faults`, faults).catch(() => undefined);
}
