import type { ServiceName } from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { Route, ServiceDefinition } from '../routing/index.js';
import type { KeyDigest, Tenant, TenantName, TenantQuota } from '../tenants/index.js';
import type { ConfigurationFile, Finding, WrittenTenant } from './check-types.js';
import { buildUnreadableFinding, checkConfiguration } from './configuration-check.js';

const LEDGER = 'ledger' as ServiceName;
const LLM = 'llm' as ServiceName;
const ENGINE = { slots: 12, kvCapacityTokens: 144_000, handleTtlMs: 500, stageSwitchMs: 6_000 };
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const QUOTA: TenantQuota = { ratePerSecond: 30_000, burst: 900, unit: 'token', plainTokens: 700 };

const CALL: Route = {
  name: 'call',
  host: 'a.example',
  pathPrefix: '/call/',
  kind: 'non-idempotent',
  timeoutMs: 4_000,
  targetLatencyMs: 500,
  priority: 0,
  targets: [{ service: LEDGER, weight: 1 }],
  maxAttempts: 1,
  usesEngines: false,
  isResumable: false,
  isPublic: false,
  gapTargetMs: undefined,
};
const STREAM: Route = {
  ...CALL,
  name: 'stream',
  pathPrefix: '/stream/',
  kind: 'stream',
  targets: [{ service: LLM, weight: 1 }],
  maxAttempts: 2,
  usesEngines: true,
  isResumable: true,
  gapTargetMs: 300,
};

type TestTenant = {
  readonly name: string;
  readonly keys: number;
  readonly quota?: TenantQuota;
  /** Limits as they are written, where they differ from the quota. */
  readonly rate?: number;
  readonly burst?: number | undefined;
};

type Parts = {
  readonly version?: number;
  readonly routes?: readonly Route[];
  readonly services?: readonly ServiceDefinition[];
  readonly writtenServices?: readonly ServiceName[];
  readonly limits?: Partial<typeof LIMITS>;
  readonly tenants?: readonly TestTenant[] | undefined;
  readonly faults?: ConfigurationFile['written']['faults'];
};

const SERVICES: readonly ServiceDefinition[] = [
  { name: LEDGER, engine: undefined },
  { name: LLM, engine: ENGINE },
];
const DESK: TestTenant = { name: 'desk', keys: 2, quota: QUOTA };

function buildDirectory(list: readonly TestTenant[]) {
  const tenants = new Map<TenantName, Tenant>();
  const byKey = new Map<KeyDigest, Tenant>();
  for (const { name, keys, quota } of list) {
    const tenant = { name: name as TenantName, priority: undefined, quota };
    tenants.set(tenant.name, tenant);
    for (let key = 0; key < keys; key += 1) byKey.set(`${name}-${key}` as KeyDigest, tenant);
  }
  return { tenants, byKey };
}

function buildWritten(tenant: TestTenant, index: number): WrittenTenant {
  const { name, quota, rate = quota?.ratePerSecond ?? 0 } = tenant;
  const burst = 'burst' in tenant ? tenant.burst : quota?.burst;
  return { path: `tenants.${index}`, name: name as TenantName, ratePerSecond: rate, burst };
}

function buildFile(parts: Parts = {}): ConfigurationFile {
  const { version = 7, routes = [CALL, STREAM], services = SERVICES, faults = [] } = parts;
  const tenants = 'tenants' in parts ? parts.tenants : [DESK];
  const names = services.map(({ name }) => name);
  return {
    value: {
      version,
      routes,
      services: new Map(services.map((service) => [service.name, service])),
      limits: { ...LIMITS, ...parts.limits },
      tenants: tenants && buildDirectory(tenants),
    },
    written: {
      services: parts.writtenServices ?? names,
      tenants: (tenants ?? []).map(buildWritten),
      faults,
    },
  };
}

function check(parts: Parts, inForce?: Parts): string[] {
  const known = inForce && buildFile(inForce);
  return checkConfiguration(buildFile(parts), known).map(
    ({ severity, path, message }) => `${severity} ${path}: ${message}`,
  );
}

function checkRoute(route: Partial<Route>): string[] {
  return check({ routes: [{ ...CALL, ...route }, STREAM] });
}

// Guards against findings that operators learn to ignore because a sound configuration has some.
it('configuration check: a sound configuration has no findings, with tenants and without', () => {
  expect(check({})).to.deep.equal([]);
  expect(check({ tenants: undefined })).to.deep.equal([]);
  expect(check({ version: 8 }, { version: 7 })).to.deep.equal([]);
  const split = [
    { service: LEDGER, weight: 0 },
    { service: 'ledger-2' as ServiceName, weight: 3 },
  ];
  const services = [...SERVICES, { name: 'ledger-2' as ServiceName, engine: undefined }];
  expect(check({ services, routes: [{ ...CALL, targets: split }, STREAM] })).to.deep.equal([]);
  const samePrefix = { ...CALL, name: 'other', host: 'b.example' };
  expect(check({ routes: [CALL, samePrefix, STREAM] })).to.deep.equal([]);
  const noBurst = { ...DESK, burst: undefined, quota: { ...QUOTA, burst: 0 } };
  const unlimited = { name: 'lab', keys: 1, rate: 0, burst: 0 };
  expect(check({ tenants: [noBurst, unlimited] })).to.deep.equal([]);
});

// Guards against a reason whose path is taken for a part of the sentence, and against text that is taken for a path.
it('configuration check: a reason of the decoder is an error with the path that it names', () => {
  const build = (reason: string): Finding => buildUnreadableFinding(reason);
  expect(build('routes.3.kind: Invalid option')).to.deep.equal({
    path: 'routes.3.kind',
    severity: 'error',
    message: 'the daemon cannot read it: Invalid option',
  });
  expect(build('not valid JSON at position 5').path).to.equal('configuration');
  expect(build('RangeError: too deep').path).to.equal('configuration');
});

// Guards against requests that go to a service nobody set up.
it('configuration check: a route to a service that is not listed is an error', () => {
  const targets = [{ service: 'ledgre' as ServiceName, weight: 1 }];
  const [first = '', second, ...others] = checkRoute({ targets });
  expect(first).to.match(/^error routes\.0: leads to service "ledgre", which is not listed/u);
  expect(second).to.equal('warning services.0: no route leads to service "ledger"');
  expect(others).to.deep.equal([]);
});

// Guards against a route whose requests are all refused.
it('configuration check: a route without a service is an error', () => {
  const [first] = checkRoute({ targets: [] });
  expect(first).to.match(/^error routes\.0: names no service/u);
});

// Guards against logs that name one of two routes.
it('configuration check: a route with the name of an earlier one is an error', () => {
  const namesake = { ...CALL, pathPrefix: '/other/' };
  expect(check({ routes: [CALL, STREAM, namesake] })).to.deep.equal([
    'error routes.2: has the same name as routes.0, "call"',
  ]);
});

// Guards against a split that was meant to stop a route and sends all requests to one service.
it('configuration check: a split whose weights are all 0 is an error', () => {
  expect(checkRoute({ targets: [{ service: LEDGER, weight: 0 }] })).to.deep.equal([
    'error routes.0: has a split whose weights are all 0, so all requests go to service "ledger"',
  ]);
});

// Guards against tenants that are refused because their entries or keys were dropped unnoticed.
it('configuration check: what the decoder left out of the tenants is an error each', () => {
  const faults = [{ path: 'tenants.3', reason: 'tenant b: key 1 is a key of tenant a' }];
  expect(check({ faults })).to.deep.equal([
    'error tenants.3: tenant b: key 1 is a key of tenant a',
  ]);
});

// Guards against a version that is sent and never comes into force.
it('configuration check: a version that is not above the one in force is an error', () => {
  const message = 'so the version in force stays in force';
  expect(check({ version: 7 }, { version: 7 })).to.deep.equal([
    `error version: is 7, not above 7, ${message}`,
  ]);
  expect(check({ version: 6 }, { version: 7 })).to.deep.equal([
    `error version: is 6, not above 7, ${message}`,
  ]);
});

// Guards against a route whose settings never apply because an earlier one takes its requests.
it('configuration check: a route behind one of the same host and prefix never matches', () => {
  expect(check({ routes: [CALL, { ...CALL, name: 'call-2' }, STREAM] })).to.deep.equal([
    'warning routes.1: never matches, because routes.0 has the same host and prefix',
  ]);
});

// Guards against services that get no request, and entries that have no effect.
it('configuration check: services that no route leads to, or that a later one replaces, are warned of', () => {
  expect(check({ routes: [CALL] })).to.deep.equal([
    'warning services.1: no route leads to service "llm"',
  ]);
  expect(check({ writtenServices: [LLM, LEDGER, LLM] })).to.deep.equal([
    'warning services.0: is not used, because a later service has the same name, "llm"',
  ]);
});

// Guards against a tenant that can never be recognized.
it('configuration check: a tenant without keys is warned of', () => {
  expect(check({ tenants: [DESK, { name: 'lab', keys: 0 }] })).to.deep.equal([
    'warning tenants.1: tenant "lab" has no key that can be used',
  ]);
});

// Guards against an empty list of tenants that shuts all callers out.
it('configuration check: tenants of whom none has a key are warned of', () => {
  const message = 'no tenant has a key, so all requests on routes that are not public are refused';
  expect(check({ tenants: [] })).to.deep.equal([`warning tenants: ${message}`]);
});

// Guards against tenants whose limits are thought to apply to public routes.
it('configuration check: tenants whose keys no route asks for are warned of', () => {
  const routes = [CALL, STREAM].map((route) => ({ ...route, isPublic: true }));
  expect(check({ routes })).to.deep.equal([
    'warning tenants: all routes are public, so no request needs the key of a tenant',
  ]);
  expect(check({ routes, tenants: undefined })).to.deep.equal([]);
});

// Guards against targets that no answer can miss before its timeout.
it('configuration check: targets above the timeout are warned of', () => {
  expect(checkRoute({ targetLatencyMs: 4_001 })).to.deep.equal([
    'warning routes.0: has targetLatencyMs 4001 above timeoutMs 4000',
  ]);
  expect(checkRoute({ gapTargetMs: 4_001 })).to.deep.equal([
    'warning routes.0: has gapTargetMs 4001 above timeoutMs 4000',
  ]);
  expect(checkRoute({ targetLatencyMs: 4_000, gapTargetMs: 4_000 })).to.deep.equal([]);
});

// Guards against operators who count on a second run of requests that run at most once.
it('configuration check: several attempts are warned of where a request runs at most once', () => {
  const message =
    'has maxAttempts 3, but a request that may have run is not sent again on this route';
  expect(checkRoute({ maxAttempts: 3 })).to.deep.equal([`warning routes.0: ${message}`]);
  expect(checkRoute({ kind: 'idempotent', maxAttempts: 3 })).to.deep.equal([]);
  const once = { ...STREAM, isResumable: false, maxAttempts: 3 };
  expect(check({ routes: [CALL, once] })).to.deep.equal([`warning routes.1: ${message}`]);
});

// Guards against connections that are closed before their callers have used the time for headers.
it('configuration check: an idle timeout below the header timeout is warned of', () => {
  expect(check({ limits: { idleTimeoutMs: 2_999 } })).to.deep.equal([
    'warning limits: has idleTimeoutMs 2999 below headerTimeoutMs 3000',
  ]);
  expect(check({ limits: { idleTimeoutMs: 3_000 } })).to.deep.equal([]);
});

// Guards against a tenant whose burst does not allow a single request.
it('configuration check: a burst below the cost of one request is warned of', () => {
  const small = { ...DESK, quota: { ...QUOTA, burst: 699 } };
  expect(check({ tenants: [small] })).to.deep.equal([
    'warning tenants.0: tenant "desk" has a burst of 699, below the cost 700 of one request',
  ]);
  const plain = { ...DESK, quota: { ...QUOTA, unit: 'request', burst: 0.5 } as const };
  expect(check({ tenants: [plain] })).to.have.length(1);
  expect(check({ tenants: [{ ...DESK, quota: { ...QUOTA, burst: 700 } }] })).to.deep.equal([]);
});

// Guards against a tenant that is thought to be limited.
it('configuration check: a burst without a rate is warned of', () => {
  expect(check({ tenants: [{ name: 'desk', keys: 1, rate: 0, burst: 5 }] })).to.deep.equal([
    'warning tenants.0: tenant "desk" has a burst of 5 but no rate, so it is not limited',
  ]);
});

// Guards against streams on a service without engines, and engines that are served as plain servers.
it('configuration check: routes and services that disagree about engines are warned of', () => {
  expect(checkRoute({ usesEngines: true })).to.deep.equal([
    'warning routes.0: is marked as using engines, but service "ledger" has none',
  ]);
  expect(check({ routes: [CALL, { ...STREAM, usesEngines: false }] })).to.deep.equal([
    'warning routes.1: is not marked as using engines, but service "llm" has engines',
  ]);
});

// Guards against a route that is thought to resume answers that are no streams.
it('configuration check: a resumable route that is no stream is warned of', () => {
  expect(checkRoute({ isResumable: true })).to.deep.equal([
    'warning routes.0: is resumable, but no stream',
  ]);
});
