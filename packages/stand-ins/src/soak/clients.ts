/** Clients of a soak run besides the open-loop load. */

import { Agent } from 'node:http';
import { waitFor } from '../harness/processes.js';
import { sendArrival, type LoadOptions, type Outcome } from '../load/load-client.js';
import type { Arrival } from '../load/workload.js';
import type { Fault } from './schedule.js';
import type { LedgerCall, Soak } from './soak-state.js';

const DEADLY_SUBMISSIONS = 6;
const RESEND_MS = 250;
const LEDGER_SUBMISSIONS = 6;
const LEDGER_INTERVAL_MS = 120;
const LEDGER_TIMEOUT_MS = 6_000;
const TWICE_EVERY = 4;
const HANG_UPS = 20;
const HANG_UP_STEP_MS = 40;
const QUARANTINED_CODE = 5001;
const agent = new Agent({ keepAlive: false });

function makeArrival(soak: Soak, ownText: string, vmIndex: number): Arrival {
  const { callers, sharedTexts } = soak.site;
  const [caller] = callers;
  const [sharedText = ''] = sharedTexts;
  if (caller === undefined) throw new Error('a site has callers');
  const text = ownText.padEnd(4_000, ' and so on');
  const base = { number: vmIndex, at: 0, vmIndex, caller, sharedText, ownText: text };
  return { ...base, maxTokens: 20, cancelAt: undefined };
}

function send(soak: Soak, arrival: Arrival, idPrefix: string): Promise<Outcome> {
  const { callerUrls, site } = soak;
  const options: LoadOptions = { callerUrls, model: site.modelService, idPrefix };
  return sendArrival(options, arrival, performance.now(), agent);
}

/** Sends a prompt that crashes engines again and again, as its caller would. */
export async function sendDeadly(soak: Soak, text: string, at: number): Promise<void> {
  soak.deadlyPrompts += 1;
  const before = soak.deadlyCrashes;
  let isQuarantined = false;
  for (let index = 0; index < DEADLY_SUBMISSIONS && !isQuarantined; index += 1) {
    const arrival = makeArrival(soak, `${text} ${at}`, at + index);
    // eslint-disable-next-line no-await-in-loop -- a caller that sends again
    const outcome = await send(soak, arrival, `soak-deadly-${at}`);
    isQuarantined = outcome.code === QUARANTINED_CODE;
    if (outcome.kind === 'answered') soak.violations.push(`deadly prompt ${at} was answered`);
    // eslint-disable-next-line no-await-in-loop -- a caller that sends again
    await waitFor(RESEND_MS);
  }
  if (!isQuarantined && soak.deadlyCrashes > before + 2) {
    soak.violations.push(`deadly prompt ${at} was never quarantined`);
  }
}

/** Sends one request to two VMs at once under one id. */
export async function sendTwice(soak: Soak, { at, target }: Fault): Promise<void> {
  const one = makeArrival(soak, `Twice ${at}`, target);
  const two = { ...one, vmIndex: target + 1 };
  const prefix = `soak-twice-${at}`;
  soak.duplicates.push(await Promise.all([send(soak, one, prefix), send(soak, two, prefix)]));
}

/** Sends requests whose clients hang up at various stages. */
export async function sendAndCancel(soak: Soak, { at, target }: Fault): Promise<void> {
  const sent: Promise<Outcome>[] = [];
  for (let index = 0; index < HANG_UPS; index += 1) {
    const arrival = makeArrival(soak, `Hang up ${at} ${index}`, target + index);
    const cancelAt = (index + 1) * HANG_UP_STEP_MS;
    sent.push(send(soak, { ...arrival, cancelAt }, `soak-hang-up-${at}`));
  }
  soak.outcomes.push(...(await Promise.all(sent)));
}

async function sendCall(soak: Soak, call: LedgerCall, vmIndex: number): Promise<boolean> {
  const { site, callerUrls } = soak;
  const url = callerUrls[vmIndex % callerUrls.length];
  const caller = site.callers[0];
  const answer = await fetch(`${url}/services/${site.ledgerService}/entries`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${caller?.key}`,
      'content-type': 'application/json',
      'idempotency-key': call.effect,
    },
    body: JSON.stringify({ effect: call.effect }),
    signal: AbortSignal.timeout(LEDGER_TIMEOUT_MS),
  }).catch(() => undefined);
  const body = (await answer?.json().catch(() => undefined)) as
    { ran?: string; count?: number } | undefined;
  const status = answer?.status ?? 0;
  call.answers.push({ status, ran: body?.ran, count: body?.count });
  return status === 200;
}

async function runCall(soak: Soak, number: number): Promise<void> {
  const call: LedgerCall = { effect: `entry-${number}`, answers: [] };
  soak.ledgerCalls.push(call);
  const isTwice = number % TWICE_EVERY === 0;
  const twin = isTwice ? sendCall(soak, call, number + 1) : undefined;
  for (let index = 0; index < LEDGER_SUBMISSIONS; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- a caller that sends again
    if (await sendCall(soak, call, number + index)) break;
    // eslint-disable-next-line no-await-in-loop -- a caller that sends again
    await waitFor(RESEND_MS);
  }
  await twin;
}

/** Calls the plain service until the run's load ends; each call has a key of its own. */
export async function runLedgerLoad(soak: Soak, until: number): Promise<void> {
  const calls: Promise<void>[] = [];
  for (let number = 0; Date.now() < until; number += 1) {
    calls.push(runCall(soak, number));
    // eslint-disable-next-line no-await-in-loop -- calls follow each other
    await waitFor(LEDGER_INTERVAL_MS);
  }
  await Promise.all(calls);
}
