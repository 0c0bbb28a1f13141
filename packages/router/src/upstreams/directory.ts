/** Keeps the upstreams that the platform lists, with one client for each engine. */

import { Agent } from 'node:http';
import type {
  DataCentre,
  EngineRole,
  Incarnation,
  ModelName,
  ServiceName,
  UpstreamId,
  VmRecord,
} from '@tarragonspool/protocol';
import { makeEngineClient, type EngineClient } from '../engines/engine-client.js';

/** One engine with its client. */
export type EngineEntry = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly models: readonly ModelName[];
  readonly role: EngineRole;
  readonly dataCentre: DataCentre;
  readonly isLeaving: boolean;
  readonly isFencing: boolean;
  readonly url: string;
  readonly client: EngineClient;
};

/** One server of a plain service. */
export type ServerEntry = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly dataCentre: DataCentre;
  readonly isLeaving: boolean;
  readonly url: string;
};

/** An entry VM as the platform lists it. */
export type EntryVmRecord = Extract<VmRecord, { kind: 'entry' }>;

/** Upstreams and entry VMs that are known at the moment. */
export type Directory = {
  readonly agent: Agent;
  engines: ReadonlyMap<UpstreamId, EngineEntry>;
  servers: ReadonlyMap<UpstreamId, ServerEntry>;
  entryVms: readonly EntryVmRecord[];
};

const MAX_SOCKETS_PER_UPSTREAM = 512;

/** Makes an empty directory. */
export function makeDirectory(): Directory {
  const agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_UPSTREAM });
  return { agent, engines: new Map(), servers: new Map(), entryVms: [] };
}

/** Takes the platform's list and leaving marks; clients of known engines are kept. */
export function applyVmList(
  directory: Directory,
  records: readonly VmRecord[],
  isLeavingUpstream: (upstreamId: UpstreamId, incarnation: Incarnation) => boolean,
): void {
  const engines = new Map<UpstreamId, EngineEntry>();
  const servers = new Map<UpstreamId, ServerEntry>();
  const entryVms: EntryVmRecord[] = [];
  for (const record of records) {
    if (record.kind === 'entry') {
      entryVms.push(record);
      continue;
    }
    const isLeaving = isLeavingUpstream(record.upstreamId, record.incarnation);
    if (record.kind === 'server') {
      servers.set(record.upstreamId, { ...record, isLeaving });
      continue;
    }
    const known = directory.engines.get(record.upstreamId);
    const isKnown = known !== undefined && known.url === record.url;
    const client = isKnown ? known.client : makeEngineClient(record.url, directory.agent);
    engines.set(record.upstreamId, { ...record, isLeaving, client });
  }
  directory.engines = engines;
  directory.servers = servers;
  directory.entryVms = entryVms;
}

/** Finds the services that serve a model, in name order. */
export function findServicesOfModel(directory: Directory, model: ModelName): ServiceName[] {
  const services = new Set<ServiceName>();
  for (const engine of directory.engines.values()) {
    if (engine.models.includes(model)) services.add(engine.service);
  }
  return [...services].sort();
}

/** Whether any server of a plain service is listed. */
export function hasService(directory: Directory, service: ServiceName): boolean {
  for (const server of directory.servers.values()) {
    if (server.service === service) return true;
  }
  return false;
}
