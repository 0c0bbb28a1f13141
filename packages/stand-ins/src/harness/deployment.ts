/** A whole deployment of separate processes on 127.0.0.0/8. */

import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { UpstreamId, VmRecord } from '@tarragonspool/protocol';
import type { EngineSettings } from '../engine/engine-settings.js';
import {
  getBinaryPath,
  getStandInPath,
  runProcess,
  startProcess,
  waitUntil,
  type RunningProcess,
} from './processes.js';
import { startRelay, type Relay } from './relay.js';

/** Sizes of a deployment. */
export type DeploymentPlan = {
  /** First port; the deployment uses the ports that follow. */
  readonly basePort: number;
  readonly entryVms: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  readonly ledgers: number;
  readonly modelService: string;
  readonly ledgerService: string;
  readonly dataCentres: readonly string[];
  /** Consecutive engines that share a server and its data centre. */
  readonly enginesPerServer?: number;
  readonly engine?: Partial<EngineSettings>;
  /** Folder in which the effects of plain services outlast their processes. */
  readonly ledgerFolder?: string;
  /** Puts a relay in front of every peer interface and engine. */
  readonly isRelayed?: boolean;
  readonly daemonEnv?: NodeJS.ProcessEnv;
  readonly isLoud?: boolean;
};

/** One entry VM of the deployment. */
export type EntryVm = {
  readonly vmId: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  process: RunningProcess;
  readonly start: () => RunningProcess;
};

/** A stand-in upstream of the deployment. */
export type StandIn = {
  readonly upstreamId: UpstreamId;
  readonly url: string;
  process: RunningProcess;
  readonly start: () => RunningProcess;
};

/** A running deployment. */
export type Deployment = {
  readonly platformUrl: string;
  readonly platform: RunningProcess;
  readonly entryVms: readonly EntryVm[];
  readonly engines: readonly StandIn[];
  readonly ledgers: readonly StandIn[];
  readonly records: readonly VmRecord[];
  readonly relays: readonly Relay[];
  /** Runs the command line against the first entry VM, or the one given. */
  readonly runCli: (
    args: readonly string[],
    entryVm?: EntryVm,
  ) => Promise<{ readonly code: number | null; readonly output: string }>;
  /** Puts a rule file into force through the command line. */
  readonly applyRules: (
    text: string,
    entryVm?: EntryVm,
  ) => Promise<{ readonly code: number | null; readonly output: string }>;
  /** Stops everything; resolves with the names of processes that did not end well. */
  readonly stop: () => Promise<string[]>;
  /** Index of the entry VM whose allocator serves the model service while all are live. */
  readonly findAllocatorVm: () => Promise<number>;
  /** Ends every process at once. */
  readonly kill: () => void;
};

type StatusShards = {
  readonly shards: readonly { readonly shardId: string; readonly owner?: string }[];
};

/** Loopback address of every process; runs side by side take different ones. */
const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const PEER_SECRET = 'demo-peer-secret-0123456789';
const OPERATOR_TOKEN = 'demo-operator-token-0123456789';
const OPERATOR_TIMEOUT_MS = 1_000;
const START_TIMEOUT_MS = 20_000;

/** Digest of an API key, as the rule file gives it. */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Reads from a daemon's operator interface. */
export async function readOperator(entryVm: EntryVm, path: string): Promise<string> {
  const answer = await fetch(`${entryVm.operatorUrl}${path}`, {
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    signal: AbortSignal.timeout(OPERATOR_TIMEOUT_MS),
  });
  return answer.text();
}

/** Sends JSON to a stand-in or daemon and returns what it answered. */
export async function callJson(url: string, body?: unknown): Promise<unknown> {
  const answer = await fetch(url, {
    method: body === undefined ? 'GET' : 'POST',
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  return answer.json();
}

function isAnswering(url: string): () => Promise<boolean> {
  return async () => (await fetch(url)).ok;
}

/** Starts every process and waits until all daemons are ready and linked. */
export async function startDeployment(plan: DeploymentPlan): Promise<Deployment> {
  let nextPort = plan.basePort;
  const takeAddress = (): string => {
    nextPort += 1;
    return `${HOST}:${nextPort}`;
  };
  const getDataCentre = (index: number): string =>
    plan.dataCentres[index % plan.dataCentres.length] ?? 'dc';
  const records: unknown[] = [];
  const relays: Relay[] = [];
  const addRelay = (name: string, target: string): string => {
    if (!plan.isRelayed) return target;
    const address = takeAddress();
    relays.push(startRelay(name, address, target));
    return address;
  };

  const platformAddress = takeAddress();
  const platformUrl = `http://${platformAddress}`;
  const platform = startProcess('platform', getStandInPath('platform'), [platformAddress]);

  const engines: StandIn[] = [];
  for (let index = 0; index < plan.prefillEngines + plan.decodeEngines; index += 1) {
    const role = index < plan.prefillEngines ? 'prefill' : 'decode';
    const listen = takeAddress();
    const upstreamId = `${plan.modelService}-${index + 1}` as UpstreamId;
    const isFencing = index % 2 === 0;
    const { modelService: model } = plan;
    const argument = JSON.stringify({
      model,
      weightStoreUrl: platformUrl,
      ...plan.engine,
      upstreamId,
      listen,
      role,
      isFencing,
    });
    const start = () => startProcess(upstreamId, getStandInPath('engine'), [argument]);
    const url = `http://${listen}`;
    engines.push({ upstreamId, url, process: start(), start });
    records.push({
      kind: 'engine',
      upstreamId,
      service: plan.modelService,
      models: [plan.modelService],
      role,
      dataCentre: getDataCentre(Math.floor(index / (plan.enginesPerServer ?? 1))),
      state: 'live',
      url: `http://${addRelay(upstreamId, listen)}`,
      isFencing,
    });
  }

  const ledgers: StandIn[] = [];
  for (let index = 0; index < plan.ledgers; index += 1) {
    const listen = takeAddress();
    const upstreamId = `${plan.ledgerService}-${index + 1}` as UpstreamId;
    const files = plan.ledgerFolder === undefined ? [] : [join(plan.ledgerFolder, upstreamId)];
    const start = () => startProcess(upstreamId, getStandInPath('ledger'), [listen, ...files]);
    const url = `http://${listen}`;
    ledgers.push({ upstreamId, url, process: start(), start });
    const dataCentre = getDataCentre(index);
    const { ledgerService: service } = plan;
    records.push({ kind: 'server', upstreamId, service, dataCentre, state: 'live', url });
  }

  const entryVms: EntryVm[] = [];
  for (let index = 0; index < plan.entryVms; index += 1) {
    const vmId = `vm-${index + 1}`;
    const [callers, operators, peers] = [takeAddress(), takeAddress(), takeAddress()];
    const dataCentre = getDataCentre(index);
    const env: NodeJS.ProcessEnv = {
      TARRAGONSPOOL_VM_ID: vmId,
      TARRAGONSPOOL_DATA_CENTRE: dataCentre,
      TARRAGONSPOOL_CALLER_LISTEN: callers,
      TARRAGONSPOOL_OPERATOR_LISTEN: operators,
      TARRAGONSPOOL_PEER_LISTEN: peers,
      TARRAGONSPOOL_PLATFORM_URL: platformUrl,
      TARRAGONSPOOL_PEER_SECRETS: PEER_SECRET,
      TARRAGONSPOOL_OPERATOR_TOKEN: OPERATOR_TOKEN,
      TARRAGONSPOOL_LOG_LEVEL: 'warn',
      TARRAGONSPOOL_DRAIN_NOTICE_MS: '2000',
      ...plan.daemonEnv,
    };
    const start = () => startProcess(vmId, getBinaryPath('router'), [], env, plan.isLoud);
    const peerAddress = addRelay(vmId, peers);
    records.push({ kind: 'entry', vmId, dataCentre, state: 'live', peerAddress });
    entryVms.push({
      vmId,
      callerUrl: `http://${callers}`,
      operatorUrl: `http://${operators}`,
      process: start(),
      start,
    });
  }

  const deadline = Date.now() + START_TIMEOUT_MS;
  await waitUntil('platform', deadline, isAnswering(`${platformUrl}/vms`));
  await callJson(`${platformUrl}/control/vms`, records);
  for (const upstream of engines) {
    // eslint-disable-next-line no-await-in-loop -- all start at once; waits for each
    await waitUntil(upstream.upstreamId, deadline, isAnswering(`${upstream.url}/load`));
  }
  for (const entryVm of entryVms) {
    // eslint-disable-next-line no-await-in-loop -- all start at once; waits for each
    await waitUntil(entryVm.vmId, deadline, isAnswering(`${entryVm.callerUrl}/readyz`));
  }

  const runCli: Deployment['runCli'] = (args, entryVm = entryVms[0]) =>
    runProcess(getBinaryPath('cli'), args, {
      TARRAGONSPOOL_OPERATOR_URL: entryVm?.operatorUrl ?? '',
      TARRAGONSPOOL_OPERATOR_TOKEN: OPERATOR_TOKEN,
    });

  return {
    platformUrl,
    platform,
    entryVms,
    engines,
    ledgers,
    records: records as VmRecord[],
    relays,
    runCli,
    applyRules: async (text, entryVm) => {
      const folder = await mkdtemp(join(tmpdir(), 'tarragonspool-'));
      const file = join(folder, 'rules.txt');
      await writeFile(file, text);
      const result = await runCli(['rules', 'apply', file], entryVm);
      await rm(folder, { recursive: true });
      return result;
    },
    findAllocatorVm: async () => {
      for (const { operatorUrl } of entryVms) {
        const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
        // eslint-disable-next-line no-await-in-loop -- the first VM that answers is enough
        const answer = await fetch(`${operatorUrl}/status`, { headers }).catch(() => undefined);
        if (answer === undefined || !answer.ok) continue;
        // eslint-disable-next-line no-await-in-loop -- the first VM that answers is enough
        const { shards } = (await answer.json()) as StatusShards;
        const shard = shards.find(({ shardId }) => shardId.startsWith(`${plan.modelService}@`));
        const index = entryVms.findIndex(({ vmId }) => vmId === shard?.owner);
        if (index >= 0) return index;
      }
      throw new Error('no VM names an allocator');
    },
    kill: () => {
      for (const { process: running } of [...entryVms, ...engines, ...ledgers]) {
        running.child.kill('SIGKILL');
      }
      platform.child.kill('SIGKILL');
    },
    stop: async () => {
      const failed: string[] = [];
      for (const { process: running } of entryVms) running.child.kill('SIGTERM');
      const codes = await Promise.all(entryVms.map(({ process: running }) => running.ended));
      for (const [index, code] of codes.entries()) {
        if (code !== 0) failed.push(`${entryVms[index]?.vmId} (${code})`);
      }
      for (const upstream of [...engines, ...ledgers]) upstream.process.child.kill('SIGTERM');
      platform.child.kill('SIGTERM');
      return failed;
    },
  };
}
