import type { ClearedUpstream } from '@tarragonspool/core';
import type { VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import type { UpstreamEvent, UpstreamExchange } from '../upstreams/upstream-client.js';
import type { PathWatch } from './path-watch.js';
import type { RelayClient } from './relay-client.js';
import type { ServerCall } from './server-call.js';
import { makeServerClient } from './server-client.js';

const RUNS = 500;
const SERVER = {
  upstreamId: 'a',
  service: 's',
  address: '10.0.0.1:1',
  incarnation: 1,
} as unknown as ClearedUpstream;
const CALL: ServerCall = {
  server: SERVER,
  requestId: 'r',
  onSent: () => undefined,
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
};

/** How one way ends: nothing left, it may have reached the server, or there was an answer. */
type WayEnd = 'unsent' | 'broken' | 'answered';

type World = {
  readonly direct: WayEnd;
  /** One end for each peer. */
  readonly peers: readonly WayEnd[];
  readonly isAvoided: boolean;
  readonly isLost: boolean;
  /** Events after which the caller leaves; beyond all events it stays. */
  readonly leavesAfter: number;
};

const EXCHANGE: UpstreamExchange = {
  cancel: () => undefined,
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

function listEvents(end: WayEnd): UpstreamEvent[] {
  if (end === 'unsent') return [{ kind: 'failed', isSent: false, reason: 'connect timeout' }];
  const head = {
    kind: 'head',
    status: 200,
    framing: 'length',
    headers: {},
    rawHeaders: [],
  } as const;
  if (end === 'answered') return [head, { kind: 'ended' }];
  return [{ kind: 'failed', isSent: true, reason: 'reset' }];
}

async function settle(): Promise<void> {
  for (let round = 0; round < 20; round += 1) {
    // eslint-disable-next-line no-await-in-loop -- events come one after the other
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Plays one send; returns what the caller saw, and the ways on which bytes left. */
async function playSend(world: World): Promise<{ seen: UpstreamEvent[]; sent: number }> {
  let sent = 0;
  const play = (end: WayEnd, onEvent: (event: UpstreamEvent) => void): UpstreamExchange => {
    const caller = { hasLeft: false };
    if (end !== 'unsent') sent += 1;
    for (const event of listEvents(end)) {
      setImmediate(() => {
        if (!caller.hasLeft) onEvent(event);
      });
    }
    return {
      ...EXCHANGE,
      cancel: () => {
        caller.hasLeft = true;
      },
    };
  };
  const paths = {
    isAvoided: () => world.isAvoided,
    isLost: () => world.isLost,
    recordOpened: () => undefined,
    recordNotOpened: () => undefined,
    recordHeard: () => undefined,
    checkSilent: () => false,
  } as unknown as PathWatch;
  const relays = {
    send: (_call: ServerCall, tried: Set<VmId>, onEvent: (event: UpstreamEvent) => void) => {
      const end = world.peers[tried.size];
      if (end === undefined) return undefined;
      tried.add(`vm-${tried.size}` as VmId);
      return play(end, onEvent);
    },
  } as unknown as RelayClient;
  const direct = {
    send: (_call: unknown, onEvent: (event: UpstreamEvent) => void) => play(world.direct, onEvent),
    dropIdle: () => undefined,
    close: () => undefined,
  };
  const client = makeServerClient({ direct, paths, relays });
  const seen: UpstreamEvent[] = [];
  const exchange = client.send(CALL, (event) => {
    seen.push(event);
    if (seen.length >= world.leavesAfter) exchange.cancel();
  });
  if (world.leavesAfter === 0) exchange.cancel();
  await settle();
  return { seen, sent };
}

const END = fc.constantFrom<WayEnd>('unsent', 'broken', 'answered');
const WORLD = fc.record({
  direct: END,
  peers: fc.array(END, { maxLength: 5 }),
  isAvoided: fc.boolean(),
  isLost: fc.boolean(),
  leavesAfter: fc.nat(4),
});

// Guards against a request that reaches a server on two ways, or is called unsent although bytes left.
it('server client: a send leaves on one way at most, has one end, and is unsent only if no byte left', async () => {
  await fc.assert(
    fc.asyncProperty(WORLD, async (world) => {
      const { seen, sent } = await playSend(world);
      expect(sent).to.be.at.most(1);
      const ends = seen.filter(({ kind }) => kind === 'ended' || kind === 'failed');
      expect(ends.length).to.be.at.most(1);
      if (world.leavesAfter > 2) expect(ends).to.have.length(1);
      const [end] = ends;
      if (end?.kind === 'failed' && !end.isSent) expect(sent).to.equal(0);
    }),
    { numRuns: RUNS, seed: 31 },
  );
});

// Guards against requests being given up although a peer reaches the server.
it('server client: a send is made by a peer where the connection of this VM does not open', async () => {
  const world: World = {
    direct: 'unsent',
    peers: ['unsent', 'answered'],
    isAvoided: false,
    isLost: false,
    leavesAfter: Infinity,
  };
  const { seen, sent } = await playSend(world);
  expect(sent).to.equal(1);
  expect(seen.map(({ kind }) => kind)).to.deep.equal(['head', 'ended']);
});
