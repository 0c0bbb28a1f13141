import { setTimeout } from 'node:timers/promises';
import { expect } from 'chai';
import { buildRuleSet, makeMembershipState, parseRuleFile } from '@tarragonspool/core';
import type { UpstreamId, VmId, VmRecord } from '@tarragonspool/protocol';
import { pino } from 'pino';
import { makeAllocationInbox } from '../allocation/allocation-messages.js';
import { offer, startTask } from '../tasks/tasks.js';
import { makeDirectory } from '../upstreams/directory.js';
import { makeMembershipInbox, runMembership } from './membership-task.js';

const LEDGER = 'ledger-1' as UpstreamId;

async function waitUntil(isTrue: () => boolean): Promise<void> {
  // eslint-disable-next-line no-await-in-loop -- polls one after another
  while (!isTrue()) await setTimeout(1);
}

function readDrained(text: string): ReadonlySet<UpstreamId> {
  const parsed = parseRuleFile(text);
  return buildRuleSet(parsed.kind === 'rules' ? parsed.rules : []).drainedUpstreams;
}

it('membership task: a drain line marks its upstream until it is undone', async () => {
  const directory = makeDirectory();
  const inbox = makeMembershipInbox();
  const state = makeMembershipState('vm-1' as VmId);
  const allocation = makeAllocationInbox();
  const logger = pino({ level: 'silent' });
  const parts = { state, directory, allocation, logger };
  startTask(
    'membership',
    () => runMembership(inbox, parts),
    () => undefined,
  );
  const records = [
    {
      kind: 'server',
      upstreamId: LEDGER,
      service: 'ledger',
      dataCentre: 'dc',
      state: 'live',
      url: 'http://127.0.0.1:1',
      incarnation: 1,
    } as unknown as VmRecord,
  ];
  const drain = (text: string): unknown =>
    offer(inbox, { kind: 'drained', upstreamIds: readDrained(text), now: Date.now() });
  const isLeaving = (): boolean | undefined => directory.servers.get(LEDGER)?.isLeaving;
  offer(inbox, { kind: 'listed', records, now: Date.now() });
  await waitUntil(() => isLeaving() === false);
  drain(`drain ${LEDGER} # Nimal\n`);
  await waitUntil(() => isLeaving() === true);
  drain('');
  await waitUntil(() => isLeaving() === false);
  expect(state.leaving.size).to.equal(0);
  inbox.close();
});
