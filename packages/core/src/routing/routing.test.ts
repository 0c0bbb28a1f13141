import type { DataCentre, ServiceName, SoftwareVersion, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import {
  buildRouteTable,
  chooseNextStep,
  chooseServer,
  chooseService,
  countRequest,
  findRoute,
  getOrAddServerLoad,
  makeEventSplitter,
  makeRetryWindow,
  recordOutcome,
  takeRetries,
  type Route,
  type RoutingConfiguration,
  type SendHistory,
  type ServerLoads,
  type UpstreamRecord,
} from './index.js';

function buildRoute(pathPrefix: string, changes: Partial<Route> = {}): Route {
  return {
    name: pathPrefix,
    host: 'a.example',
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 0,
    targets: [{ service: 'one' as ServiceName, weight: 1 }],
    maxAttempts: 2,
    usesEngines: false,
    isResumable: false,
    isPublic: false,
    gapTargetMs: undefined,
    ...changes,
  };
}

function buildConfiguration(routes: readonly Route[]): RoutingConfiguration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return { version: 1, routes, services: new Map(), limits, tenants: undefined };
}

function buildServer(name: string, changes: Partial<UpstreamRecord> = {}): UpstreamRecord {
  return {
    upstreamId: name as UpstreamId,
    service: 'one' as ServiceName,
    address: '10.0.0.1:80',
    dataCentre: 'negombo' as DataCentre,
    slots: 6,
    isLeaving: false,
    stage: undefined,
    incarnation: 1,
    orderCount: 0,
    softwareVersion: 'v1' as SoftwareVersion,
    ...changes,
  };
}

const HISTORY: SendHistory = {
  kind: 'non-idempotent',
  isResumable: false,
  runs: 1,
  maxAttempts: 2,
  mayRetry: true,
};

it('routes: the longest prefix of the path wins', () => {
  const table = buildRouteTable(buildConfiguration([buildRoute('/a/'), buildRoute('/a/b/')]));
  expect(findRoute(table, 'a.example', '/a/b/c')?.name).to.equal('/a/b/');
  expect(findRoute(table, 'a.example', '/a/c')?.name).to.equal('/a/');
  expect(findRoute(table, 'a.example', '/ab')).to.equal(undefined);
  expect(findRoute(table, 'b.example', '/a/')).to.equal(undefined);
});

it('routes: requests are split by weight', () => {
  const targets = [
    { service: 'one' as ServiceName, weight: 90 },
    { service: 'two' as ServiceName, weight: 10 },
  ];
  const route = buildRoute('/a/', { targets });
  expect(chooseService(route, 0)).to.equal('one');
  expect(chooseService(route, 0.899)).to.equal('one');
  expect(chooseService(route, 0.9)).to.equal('two');
  expect(chooseService(route, 0.999)).to.equal('two');
});

it('retries: a VM may use its share of the slack and a ratio of its requests', () => {
  const limits = { ratio: 0.2, windowMs: 10_000, slack: 50 };
  const window = makeRetryWindow();
  let taken = 0;
  while (takeRetries(window, limits, 10, 1, 0)) taken += 1;
  expect(taken).to.be.at.most(5);
  for (let request = 0; request < 100; request += 1) countRequest(window, limits, 1);
  while (takeRetries(window, limits, 10, 1, 2)) taken += 1;
  expect(taken).to.be.at.most(25);
  expect(taken).to.be.at.least(15);
});

it('retries: a retry older than the window no longer counts', () => {
  const limits = { ratio: 0, windowMs: 10_000, slack: 2 };
  const window = makeRetryWindow();
  expect(takeRetries(window, limits, 1, 1, 0)).to.equal(true);
  expect(takeRetries(window, limits, 1, 1, 9_999)).to.equal(false);
  expect(takeRetries(window, limits, 1, 1, 10_001)).to.equal(true);
});

it('retries: a repeated prefill of a prompt and the run that follows it are taken together or not at all', () => {
  const limits = { ratio: 0, windowMs: 10_000, slack: 5 };
  const window = makeRetryWindow();
  expect(takeRetries(window, limits, 1, 2, 0)).to.equal(true);
  expect(takeRetries(window, limits, 1, 2, 1)).to.equal(false);
  expect(takeRetries(window, limits, 1, 1, 1)).to.equal(true);
});

it('outcomes: a request that may have run is never repeated and never refused as not run', () => {
  const unknown = { kind: 'unknown', reason: 'reset' } as const;
  expect(chooseNextStep(unknown, HISTORY).kind).to.equal('fail');
});

it('outcomes: a status that promises no run is not passed on to the caller once the request ran', () => {
  for (const status of [408, 421, 429, 503]) {
    const outcome = { kind: 'answered', status, isSigned: true } as const;
    expect(chooseNextStep(outcome, HISTORY).kind).to.equal('fail');
  }
});

it('outcomes: a request that did not run goes to another server, then is refused', () => {
  const notRun = { kind: 'not-run', reason: 'status 503', hasArrived: true } as const;
  expect(chooseNextStep(notRun, { ...HISTORY, runs: 0 }).kind).to.equal('retry');
  const last = { ...HISTORY, runs: 0, mayRetry: false };
  expect(chooseNextStep(notRun, last).kind).to.equal('refuse');
});

it('outcomes: an idempotent request that ran once is not reported to the caller as not run', () => {
  const notRun = { kind: 'not-run', reason: 'status 503', hasArrived: true } as const;
  const history: SendHistory = { ...HISTORY, kind: 'idempotent', mayRetry: false };
  expect(chooseNextStep(notRun, history).kind).to.equal('fail');
});

it('outcomes: a server error of an idempotent request is retried until all its attempts are used', () => {
  const error = { kind: 'answered', status: 500, isSigned: true } as const;
  const history: SendHistory = { ...HISTORY, kind: 'idempotent' };
  expect(chooseNextStep(error, history).kind).to.equal('retry');
  expect(chooseNextStep(error, { ...history, runs: 2 }).kind).to.equal('forward');
});

it('outcomes: a success status without a signature counts as a failure', () => {
  const outcome = { kind: 'answered', status: 200, isSigned: false } as const;
  expect(chooseNextStep(outcome, HISTORY).kind).to.equal('fail');
});

it('servers: the server with the fewest requests in flight is chosen, and failures count against it', () => {
  const servers = [buildServer('a'), buildServer('b')];
  const loads: ServerLoads = new Map();
  const choice = {
    servers,
    loads,
    excluded: new Set<UpstreamId>(),
    dataCentre: 'negombo' as DataCentre,
    takeFraction: () => 0,
    now: 0,
  };
  getOrAddServerLoad(loads, 'a' as UpstreamId).inFlight = 3;
  expect(chooseServer(choice)?.upstreamId).to.equal('b');
  const load = getOrAddServerLoad(loads, 'b' as UpstreamId);
  for (let failure = 0; failure < 8; failure += 1) recordOutcome(load, true, 0);
  expect(chooseServer(choice)?.upstreamId).to.equal('a');
  expect(chooseServer({ ...choice, now: 60_000 })?.upstreamId).to.equal('b');
});

it('servers: a server that is leaving is never chosen', () => {
  const choice = {
    servers: [buildServer('a', { isLeaving: true })],
    loads: new Map(),
    excluded: new Set<UpstreamId>(),
    dataCentre: 'negombo' as DataCentre,
    takeFraction: () => 0,
    now: 0,
  };
  expect(chooseServer(choice)).to.equal(undefined);
});

it('events: whole events come out wherever the chunks end', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c';
  for (let cut = 1; cut < text.length; cut += 1) {
    const splitter = makeEventSplitter();
    const first = splitter.split(Buffer.from(text.slice(0, cut)));
    const second = splitter.split(Buffer.from(text.slice(cut)));
    const parts = [...first, ...second];
    const whole = Buffer.concat(parts.map(({ bytes }) => bytes)).toString();
    expect(whole).to.equal('id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n');
    const ids = parts.map((part) => (part.kind === 'event' ? part.id : undefined));
    expect(ids).to.deep.equal([
      { kind: 'number', value: 1 },
      { kind: 'number', value: 2 },
    ]);
    const rest = splitter.takeRest().map(({ bytes }) => bytes.toString());
    expect(rest).to.deep.equal(['id: 3\ndata: c']);
  }
});

// Guards against an answer that is taken for whole though its last event is not.
it('event splitter: a stream is inside an event from its first line to the blank line', () => {
  const splitter = makeEventSplitter();
  const parts = [
    [': comment\n\n', false],
    ['id: 1\n', true],
    ['data: a\n', true],
    ['\n', false],
    ['\r\n: comm', false],
    ['ent\nda', true],
    ['ta: b\r\n\r\n', false],
  ] as const;
  for (const [text, isInside] of parts) {
    splitter.split(Buffer.from(text));
    expect(splitter.isInsideEvent(), text).to.equal(isInside);
  }
});
