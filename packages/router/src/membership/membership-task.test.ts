import { setTimeout } from 'node:timers/promises';
import { expect } from 'chai';
import { buildRuleSet, makeMembershipState, parseRuleFile } from '@tarragonspool/core';
import type { UpstreamId, VmId, VmRecord } from '@tarragonspool/protocol';
import { pino } from 'pino';
import { makeAllocationInbox } from '../allocation/allocation-task.js';
import { makeRulesView, type RulesView } from '../rules/rules-view.js';
import { offer, startTask } from '../tasks/tasks.js';
import { makeDirectory } from '../upstreams/directory.js';
import { makeMembershipInbox, runMembership } from './membership-task.js';

const LEDGER = 'ledger-1' as UpstreamId;

async function waitUntil(isTrue: () => boolean): Promise<void> {
  // eslint-disable-next-line no-await-in-loop -- polls one after another
  while (!isTrue()) await setTimeout(1);
}

function applyText(view: RulesView, text: string): void {
  const parsed = parseRuleFile(text);
  view.ruleSet = buildRuleSet(parsed.kind === 'rules' ? parsed.rules : []);
}

it('membership task: a drain line marks its upstream until it is undone', async () => {
  const rules = makeRulesView();
  const directory = makeDirectory();
  const inbox = makeMembershipInbox();
  const state = makeMembershipState('vm-1' as VmId);
  const allocation = makeAllocationInbox();
  const logger = pino({ level: 'silent' });
  const parts = { state, directory, rules, allocation, logger };
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
  const list = (): unknown => offer(inbox, { kind: 'listed', records, now: Date.now() });
  const isLeaving = (): boolean | undefined => directory.servers.get(LEDGER)?.isLeaving;
  list();
  await waitUntil(() => isLeaving() === false);
  applyText(rules, `drain ${LEDGER} # Nimal\n`);
  list();
  await waitUntil(() => isLeaving() === true);
  applyText(rules, '');
  list();
  await waitUntil(() => isLeaving() === false);
  expect(state.leaving.size).to.equal(0);
  inbox.close();
});
