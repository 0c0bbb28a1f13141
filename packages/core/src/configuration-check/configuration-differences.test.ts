import type { ServiceName } from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { Route, RoutingConfiguration } from '../routing/index.js';
import type { KeyDigest, Tenant, TenantName } from '../tenants/index.js';
import type { ConfigurationFile } from './check-types.js';
import { compareConfigurations } from './configuration-differences.js';

const ENGINE = { slots: 12, kvCapacityTokens: 144_000, handleTtlMs: 500, stageSwitchMs: 6_000 };
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

function buildRoute(name: string, fields: Partial<Route> = {}): Route {
  return {
    name,
    host: 'a.example',
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMs: 4_000,
    targetLatencyMs: 500,
    priority: 0,
    targets: [{ service: 'llm' as ServiceName, weight: 1 }],
    maxAttempts: 1,
    usesEngines: false,
    isResumable: false,
    isPublic: false,
    gapTargetMs: undefined,
    ...fields,
  };
}

function buildTenant(name: string, fields: Partial<Tenant> = {}): Tenant {
  return { name: name as TenantName, priority: undefined, quota: undefined, ...fields };
}

function buildTenants(...list: readonly (readonly [Tenant, ...string[]])[]) {
  const tenants = new Map(list.map(([tenant]) => [tenant.name, tenant]));
  const byKey = new Map(
    list.flatMap(([tenant, ...keys]) => keys.map((key) => [key as KeyDigest, tenant] as const)),
  );
  return { tenants, byKey };
}

function buildFile(parts: Partial<RoutingConfiguration>): ConfigurationFile {
  const value: RoutingConfiguration = {
    version: 7,
    routes: [buildRoute('read')],
    services: new Map([['llm' as ServiceName, { name: 'llm' as ServiceName, engine: ENGINE }]]),
    limits: LIMITS,
    tenants: undefined,
    ...parts,
  };
  const names = [...(value.tenants?.tenants.keys() ?? [])];
  return {
    value,
    written: {
      services: [...value.services.keys()],
      tenants: names.map((name, index) => ({
        path: `tenants.${index}`,
        name,
        ratePerSecond: 0,
        burst: undefined,
      })),
      faults: [],
    },
  };
}

function compare(
  before: Partial<RoutingConfiguration>,
  after: Partial<RoutingConfiguration>,
): string[] {
  const differences = compareConfigurations(buildFile(before), buildFile(after));
  return differences.map(({ kind, path, message }) => `${kind} ${path}: ${message}`);
}

// Guards against differences that change nothing about what the daemon does.
it('configuration differences: neither the version nor the order of entries is one', () => {
  const [read, write] = [buildRoute('read'), buildRoute('write')];
  const moved = { routes: [write, read], version: 8 };
  expect(compare({ routes: [read, write] }, moved)).to.deep.equal([]);
});

// Guards against changes of routes that are missing in the output or shown without their values.
it('configuration differences: routes that are added, removed and changed, and how', () => {
  const before = [buildRoute('read'), buildRoute('write', { gapTargetMs: 300 })];
  const targets = [
    { service: 'llm' as ServiceName, weight: 1 },
    { service: 'llm-2' as ServiceName, weight: 3 },
  ];
  const after = [buildRoute('new'), buildRoute('write', { timeoutMs: 2_000, targets })];
  expect(compare({ routes: before }, { routes: after })).to.deep.equal([
    'added routes.0: route "new" added',
    'changed routes.1: route "write": timeoutMs 4000 -> 2000, gapTargetMs 300 -> none, services llm (1) -> llm (1), llm-2 (3)',
    'removed routes.0: route "read" removed',
  ]);
});

// Guards against a second route of one name whose changes are not shown.
it('configuration differences: routes of one name are compared in their order', () => {
  const [first, second] = [buildRoute('read'), buildRoute('read', { pathPrefix: '/other/' })];
  expect(
    compare({ routes: [first, second] }, { routes: [first, { ...second, isPublic: true }] }),
  ).to.deep.equal(['changed routes.1: route "read": public false -> true']);
  expect(compare({ routes: [first, second] }, { routes: [first] })).to.have.length(1);
});

// Guards against changes of engines that are missing in the output.
it('configuration differences: services and what changes about their engines', () => {
  const [llm, lab] = ['llm' as ServiceName, 'lab' as ServiceName];
  const services = new Map([
    [llm, { name: llm, engine: { ...ENGINE, slots: 16 } }],
    [lab, { name: lab, engine: undefined }],
  ]);
  expect(compare({}, { services })).to.deep.equal([
    'changed services.0: service "llm": slots 12 -> 16',
    'added services.1: service "lab" added',
  ]);
});

// Guards against changed limits that are missing in the output.
it('configuration differences: limits of callers', () => {
  expect(compare({}, { limits: { ...LIMITS, idleTimeoutMs: 9_000 } })).to.deep.equal([
    'changed limits: limits: idleTimeoutMs 15000 -> 9000',
  ]);
});

// Guards against keys or their digests in the output, and against exchanged keys that a count alone would hide.
it('configuration differences: tenants, their limits, and their keys as counts', () => {
  const quota = { ratePerSecond: 10, burst: 5, unit: 'request', plainTokens: 1 } as const;
  const before = buildTenants([buildTenant('desk', { quota }), 'k1', 'k2'], [buildTenant('old')]);
  const after = buildTenants(
    [buildTenant('desk', { quota: { ...quota, ratePerSecond: 20 }, priority: 1 }), 'k2', 'k3'],
    [buildTenant('new'), 'k4'],
  );
  expect(compare({ tenants: before }, { tenants: after })).to.deep.equal([
    'changed tenants.0: tenant "desk": priority none -> 1, ratePerS 10 -> 20, 1 key added, 1 key removed',
    'added tenants.1: tenant "new" added with 1 key',
    'removed tenants.1: tenant "old" removed with 0 keys',
  ]);
});

// Guards against an empty list, which shuts callers out, that looks like no list.
it('configuration differences: whether requests need keys', () => {
  expect(compare({}, { tenants: buildTenants() })).to.deep.equal([
    'added tenants: list of tenants added: requests need a key on routes that are not public',
  ]);
  expect(compare({ tenants: buildTenants() }, {})).to.deep.equal([
    'removed tenants: list of tenants removed: requests need no key',
  ]);
});
