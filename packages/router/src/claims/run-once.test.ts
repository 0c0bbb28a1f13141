import { setTimeout } from 'node:timers/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buildRuleSet, parseRuleFile } from '@tarragonspool/core';
import type { TableClient } from '@tarragonspool/platform';
import type { DataCentre, ServiceName, TableRow, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeAuthenticateFilter } from '../callers/authenticate.js';
import { makeCallerServer } from '../callers/caller-server.js';
import { makeReadBodyFilter } from '../callers/read-body-filter.js';
import { makeRequestJournal } from '../journal/request-journal.js';
import { makeInvariants } from '../invariants/invariants.js';
import { makeMetrics } from '../metrics/metrics.js';
import { makeRulesView } from '../rules/rules-view.js';
import { makeServiceFilters } from '../services/service-filters.js';
import { startTask } from '../tasks/tasks.js';
import { makeDirectory } from '../upstreams/directory.js';
import { flushClaims, makeLedgerInbox, runClaimLedger } from './claim-ledger.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const KEY_DIGEST = '9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08';

type Faults = { isDown: boolean; isLosingReplies: boolean };

function makeFakeTable(faults: Faults): TableClient {
  const rows = new Map<string, TableRow>();
  return {
    async transact(writes) {
      if (faults.isDown) return { kind: 'unavailable' };
      const found = writes.flatMap((write) => rows.get(write.key) ?? []);
      const isConflict = writes.some((write) => {
        const version = rows.get(write.key)?.version;
        return write.kind === 'insert' ? version !== undefined : version !== write.ifVersion;
      });
      if (isConflict) return { kind: 'conflict', rows: found };
      for (const write of writes) {
        if (write.kind === 'delete') rows.delete(write.key);
        else {
          const version = (rows.get(write.key)?.version ?? 0) + 1;
          rows.set(write.key, { key: write.key, value: write.value, version });
        }
      }
      return faults.isLosingReplies ? { kind: 'lost' } : { kind: 'committed' };
    },
    async readRows(keys) {
      return { kind: 'rows', rows: keys.flatMap((key) => rows.get(key) ?? []) };
    },
    async scanRows() {
      return { kind: 'rows', rows: [] };
    },
  };
}

async function listenOn(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return `http://${HOST}:${(server.address() as AddressInfo).port}`;
}

type Handler = (incoming: IncomingMessage, response: ServerResponse) => void;

async function startRig(handle: Handler, extraUrls: readonly string[] = []) {
  const faults: Faults = { isDown: false, isLosingReplies: false };
  const counts = { effects: 0 };
  const upstream = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', () => {
      counts.effects += 1;
      handle(incoming, response);
    });
  });
  const urls = [...extraUrls, await listenOn(upstream)];
  const directory = makeDirectory();
  directory.servers = new Map(
    urls.map((url, index) => {
      const upstreamId = `s${index}` as UpstreamId;
      const service = 'ledger' as ServiceName;
      const entry = { upstreamId, service, dataCentre: 'dc' as DataCentre, isLeaving: false, url };
      return [upstreamId, entry];
    }),
  );
  const view = makeRulesView();
  const text = `caller team key-sha256=${KEY_DIGEST}  # test\nallow team ledger  # test\n`;
  const parsed = parseRuleFile(text);
  if (parsed.kind === 'errors') throw new Error(JSON.stringify(parsed.errors));
  view.ruleSet = buildRuleSet(parsed.rules);
  const metrics = makeMetrics();
  const logger = pino({ level: 'silent' });
  const invariants = makeInvariants(metrics, logger, true);
  const claims = makeLedgerInbox();
  const table = makeFakeTable(faults);
  startTask(
    'claims',
    () => runClaimLedger(claims, { table, invariants, metrics, logger }),
    () => undefined,
  );
  const filters = makeServiceFilters(
    { view, directory, claims, invariants, metrics },
    makeReadBodyFilter(65_536),
  );
  const service = [makeAuthenticateFilter(view), ...filters];
  const routes = { chat: [], models: [], service };
  const server = makeCallerServer({
    routes,
    isReady: () => true,
    isLeaving: () => false,
    keepAliveMs: 5_000,
    journal: makeRequestJournal(0),
    onEnded: () => undefined,
    metrics,
    logger,
  });
  const url = await listenOn(server);
  const call = async (key: string, body = '{}') => {
    const headers = {
      authorization: 'Bearer test',
      'idempotency-key': key,
      'x-request-id': 'same-request-id',
    };
    const answer = await fetch(`${url}/services/ledger/add`, { method: 'POST', headers, body });
    const answerText = await answer.text();
    const { name, ran } = answer.ok
      ? { name: 'ok', ran: 'ran' }
      : (JSON.parse(answerText) as { name: string; ran: string });
    return { name, ran, text: answerText, replayed: answer.headers.get('idempotent-replayed') };
  };
  const stop = (): void => {
    server.closeAllConnections();
    server.close();
    upstream.closeAllConnections();
    upstream.close();
  };
  return { faults, counts, call, stop, claims };
}

it('once: a second call with the same key receives the recorded answer', async () => {
  const rig = await startRig((_incoming, response) => response.end('done'));
  const first = await rig.call('k');
  const second = await rig.call('k');
  const other = await rig.call('k', '{"other":1}');
  rig.stop();
  expect([first.replayed, second.replayed]).to.deep.equal([null, 'true']);
  expect([second.text, other.name, rig.counts.effects]).to.deep.equal(['done', 'key-reused', 1]);
});

it('once: concurrent calls with the same request id and key run once when table replies are lost', async () => {
  const rig = await startRig((_incoming, response) => response.end('done'));
  rig.faults.isLosingReplies = true;
  const answers = await Promise.all([rig.call('k'), rig.call('k'), rig.call('k')]);
  rig.stop();
  expect(rig.counts.effects).to.equal(1);
  expect(answers.filter(({ name }) => name === 'ok')).to.have.length.at.least(1);
});

it('once: a call is refused as not run while the table is down', async () => {
  const rig = await startRig((_incoming, response) => response.end('done'));
  rig.faults.isDown = true;
  const refused = await rig.call('k');
  rig.faults.isDown = false;
  const served = await rig.call('k');
  rig.stop();
  expect([refused.name, refused.ran]).to.deep.equal(['claim-unavailable', 'not-run']);
  expect([served.name, rig.counts.effects]).to.deep.equal(['ok', 1]);
});

it('once: a connection that breaks before the answer leaves an unknown outcome, also for a second call', async () => {
  const rig = await startRig((incoming) => incoming.socket.destroy());
  const first = await rig.call('k');
  const second = await rig.call('k');
  rig.stop();
  expect([first.name, first.ran]).to.deep.equal(['outcome-unknown', 'unknown']);
  expect(['outcome-unknown', 'claim-in-progress']).to.include(second.name);
  expect(rig.counts.effects).to.equal(1);
});

it('once: a server that refuses connections is passed over, and the key stays usable', async () => {
  const gone = `http://${HOST}:1`;
  const rig = await startRig((_incoming, response) => response.end('done'), [gone, gone]);
  const answers = [await rig.call('k1'), await rig.call('k2'), await rig.call('k3')];
  rig.stop();
  expect(answers.map(({ name }) => name)).to.deep.equal(['ok', 'ok', 'ok']);
  expect(rig.counts.effects).to.equal(3);
});

it('once: an answer above the limit is passed on but not recorded', async () => {
  const rig = await startRig((_incoming, response) => response.end('x'.repeat(20_000)));
  const first = await rig.call('k');
  const second = await rig.call('k');
  rig.stop();
  expect([first.text.length, second.ran]).to.deep.equal([20_000, 'ran']);
});

it('once: a flush waits until an outcome is recorded, through an outage of the table', async () => {
  const rig = await startRig((_incoming, response) => {
    rig.faults.isDown = true;
    response.end('done');
  });
  await rig.call('k');
  const isEarly = await Promise.race([
    flushClaims(rig.claims, Date.now() + 60_000).then(() => true),
    setTimeout(100).then(() => false),
  ]);
  rig.faults.isDown = false;
  await flushClaims(rig.claims, Date.now() + 60_000);
  const again = await rig.call('k');
  rig.stop();
  expect([isEarly, again.replayed, rig.counts.effects]).to.deep.equal([false, 'true', 1]);
});
