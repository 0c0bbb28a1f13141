import type {
  DataCentre,
  Incarnation,
  PeerMessage,
  ResultName,
  RuleRevision,
  VmId,
} from '@tarragonspool/protocol';
import { encodePeerMessage, MAX_PEER_FRAME_BYTES } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { WebSocket } from 'ws';
import { makeMetrics } from '../metrics/metrics.js';
import type { EntryVmRecord } from '../upstreams/directory.js';
import { makeDialSchedule } from './dial-schedule.js';
import { getCloseCode, startPeerLink, type PeerIdentity, type PeerLink } from './peer-link.js';
import { startPeerMesh, type PeerMesh, type PeerMeshParts } from './peer-mesh.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const SECRET = 'a-secret-of-the-peers';
/** So long that a frame is judged by what it holds, however late a busy machine reads it. */
const PATIENT = { times: { handshakeTimeoutMs: 30_000 } };
const WS_TOO_LARGE_CODE = 1_009;
const SILENCE_MS = 300;
const UNUSED_MS = 100;
const HEARTBEAT: PeerMessage = {
  kind: 'heartbeat',
  sentAt: 1,
  isLeaving: false,
  rulesRevision: 0 as RuleRevision,
  summaries: [],
  leaving: [],
};

type TestMesh = {
  readonly mesh: PeerMesh;
  readonly directory: { entryVms: EntryVmRecord[] };
  readonly opened: VmId[];
  readonly gone: VmId[];
  readonly heard: string[];
  /** Called as a link opens. */
  onOpened: () => void;
};

const meshes: PeerMesh[] = [];

function makeIdentity(vmId: string, incarnation = 1): PeerIdentity {
  return {
    vmId: vmId as VmId,
    incarnation: incarnation as Incarnation,
    dataCentre: 'a' as DataCentre,
  };
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

async function waitUntil(check: () => boolean): Promise<void> {
  // eslint-disable-next-line no-await-in-loop -- polls one after another
  while (!check()) await wait(10);
}

async function startMesh(
  vmId: string,
  incarnation = 1,
  port = 0,
  more: Partial<PeerMeshParts> = {},
): Promise<TestMesh> {
  const directory = { entryVms: [] as EntryVmRecord[] };
  const [opened, gone, heard]: [VmId[], VmId[], string[]] = [[], [], []];
  const hooks = { onOpened: (): void => undefined };
  const mesh = startPeerMesh({
    self: makeIdentity(vmId, incarnation),
    listen: { host: HOST, port },
    secrets: [SECRET],
    directory,
    metrics: makeMetrics(),
    logger: pino({ level: 'silent' }),
    times: {
      dialIntervalMs: 20,
      silenceMs: SILENCE_MS,
      handshakeTimeoutMs: 200,
      unusedMs: UNUSED_MS,
    },
    onOpen: ({ peer }) => {
      opened.push(peer.vmId);
      hooks.onOpened();
    },
    onMessage: (_peer, message) => heard.push(message.kind),
    onGone: (gonePeer) => gone.push(gonePeer),
    ...more,
  });
  meshes.push(mesh);
  await waitUntil(() => mesh.getPort() !== undefined);
  return Object.assign(hooks, { mesh, directory, opened, gone, heard });
}

function makeRecord(vmId: string, mesh: PeerMesh): EntryVmRecord {
  const peerAddress = `${HOST}:${mesh.getPort()}`;
  return { kind: 'entry', vmId, dataCentre: 'a', state: 'live', peerAddress } as EntryVmRecord;
}

function dialRaw({ mesh }: TestMesh): WebSocket {
  const socket = new WebSocket(`ws://${HOST}:${mesh.getPort()}/peer`);
  socket.on('error', () => undefined);
  return socket;
}

/** Opens a raw connection, sends frames and resolves with the code it is closed with. */
function sendFrames(to: TestMesh, frames: readonly (Buffer | string)[]): Promise<number> {
  return new Promise((resolve) => {
    const socket = dialRaw(to);
    socket.on('open', () => {
      for (const frame of frames) socket.send(frame);
    });
    socket.on('close', resolve);
  });
}

function openLink(to: TestMesh, self: PeerIdentity, secret = SECRET): Promise<PeerLink | string> {
  return new Promise((resolve) => {
    const socket = dialRaw(to);
    socket.on('open', () => {
      startPeerLink(
        socket,
        { self, secrets: [secret], handshakeTimeoutMs: 1_000 },
        {
          onOpen: resolve,
          onMessage: () => undefined,
          onClose: (_link, detail) => resolve(detail),
        },
      );
    });
  });
}

function makeHello(version: number): Buffer {
  const hello = { kind: 'hello', version, ...makeIdentity('vm-9'), nonce: 'n' } as const;
  return encodePeerMessage(hello);
}

after(() => {
  for (const mesh of meshes) mesh.close();
});

const BAD_FRAMES: readonly (readonly [string, readonly (Buffer | string)[], ResultName])[] = [
  ['random bytes', [Buffer.from([0xc1, 0xff, 0x00, 0x93])], 'frame-malformed'],
  ['text', ['hello'], 'frame-malformed'],
  ['an unknown version', [makeHello(99)], 'protocol-version'],
  ['a message before the proof', [encodePeerMessage(HEARTBEAT)], 'proof-failed'],
  [
    'a wrong proof',
    [makeHello(1), encodePeerMessage({ kind: 'proof', proof: 'x' })],
    'proof-failed',
  ],
  ['two hellos', [makeHello(1), makeHello(1)], 'proof-failed'],
  ['no handshake', [], 'proof-failed'],
];

for (const [what, frames, result] of BAD_FRAMES) {
  it(`peers: ${what} closes the link with its code and not the mesh`, async () => {
    const mesh = await startMesh('vm-1', 1, 0, frames.length === 0 ? {} : PATIENT);
    expect(await sendFrames(mesh, frames)).to.equal(getCloseCode(result));
    expect(typeof (await openLink(mesh, makeIdentity('vm-2')))).to.equal('object');
  });
}

it('peers: a frame above the limit closes the link and not the mesh', async () => {
  const mesh = await startMesh('vm-1', 1, 0, PATIENT);
  const frame = Buffer.alloc(MAX_PEER_FRAME_BYTES + 1);
  expect(await sendFrames(mesh, [frame])).to.equal(WS_TOO_LARGE_CODE);
  expect(typeof (await openLink(mesh, makeIdentity('vm-2')))).to.equal('object');
});

it('peers: a peer with another secret is turned away', async () => {
  const mesh = await startMesh('vm-1');
  expect(await openLink(mesh, makeIdentity('vm-2'), 'another-secret-entirely')).to.equal('7004');
  expect(mesh.opened).to.deep.equal([]);
});

it('peers: a peer that claims to be this VM is turned away', async () => {
  const mesh = await startMesh('vm-1');
  const detail = await openLink(mesh, makeIdentity('vm-1', 7));
  expect(detail).to.equal('7004');
});

it('peers: an older incarnation does not replace a newer one', async () => {
  const mesh = await startMesh('vm-1');
  await openLink(mesh, makeIdentity('vm-2', 5));
  await waitUntil(() => mesh.opened.length === 1);
  await openLink(mesh, makeIdentity('vm-2', 4));
  await wait(50);
  expect(mesh.mesh.links.get('vm-2' as VmId)?.peer.incarnation).to.equal(5);
});

// Guards against an answer for an earlier process of a VM that is told to its next one, which counts its sends anew.
it('peers: what an older incarnation still sends is left out once a newer one is linked', async () => {
  const mesh = await startMesh('vm-1');
  const older = (await openLink(mesh, makeIdentity('vm-2', 4))) as PeerLink;
  older.send(HEARTBEAT);
  await waitUntil(() => mesh.heard.length === 1);
  // On its way as the newer one is linked: its own end does not know yet that it is closed.
  mesh.onOpened = () => older.send(HEARTBEAT);
  const newer = (await openLink(mesh, makeIdentity('vm-2', 5))) as PeerLink;
  newer.send(HEARTBEAT);
  await waitUntil(() => mesh.heard.length > 1);
  await wait(100);
  expect(mesh.opened).to.have.length(2);
  expect(mesh.heard).to.have.length(2);
});

it('peers: a link whose peer is silent is cut', async () => {
  const mesh = await startMesh('vm-1');
  await openLink(mesh, makeIdentity('vm-2'));
  await waitUntil(() => mesh.gone.length === 1);
  expect(mesh.mesh.links.size).to.equal(0);
});

/** Lets two VMs talk for long enough that an unused link is closed, so that no link is cut as silent. */
async function keepTalking(first: TestMesh, second: TestMesh): Promise<void> {
  for (let round = 0; round < 10; round += 1) {
    first.mesh.broadcast(HEARTBEAT);
    second.mesh.broadcast(HEARTBEAT);
    // eslint-disable-next-line no-await-in-loop -- one round after the other
    await wait(UNUSED_MS / 2);
  }
}

// Guards against links that stay for ever because they were dialled before all VMs were known.
it('peers: a link to a VM that was no target any more when it opened is closed', async () => {
  const second = await startMesh('vm-2');
  const target = makeRecord('vm-2', second.mesh);
  let isTarget = true;
  const listTargets = (): EntryVmRecord[] => {
    const targets = isTarget ? [target] : [];
    isTarget = false;
    return targets;
  };
  const first = await startMesh('vm-1', 1, 0, { listTargets });
  await waitUntil(() => first.opened.length === 1);
  await keepTalking(first, second);
  expect(first.gone).to.have.length(1);
  expect(first.mesh.links.size).to.equal(0);
});

// Guards against requests that end because the link that carries them is no longer needed for anything else.
it('peers: a link to a VM that is no target is closed only once it carries no requests', async () => {
  const second = await startMesh('vm-2');
  const target = makeRecord('vm-2', second.mesh);
  let isTarget = true;
  let isUsed = true;
  const listTargets = (): EntryVmRecord[] => {
    const targets = isTarget ? [target] : [];
    isTarget = false;
    return targets;
  };
  const first = await startMesh('vm-1', 1, 0, { listTargets, isLinkUsed: () => isUsed });
  await waitUntil(() => first.opened.length === 1);
  await keepTalking(first, second);
  expect(first.gone).to.deep.equal([]);
  isUsed = false;
  await keepTalking(first, second);
  expect(first.gone).to.have.length(1);
});

// Guards against links of which both ends would close and dial the same one in turn.
it('peers: a link that is needed stays', async () => {
  const second = await startMesh('vm-2');
  const target = makeRecord('vm-2', second.mesh);
  const first = await startMesh('vm-1', 1, 0, { listTargets: () => [target] });
  await waitUntil(() => first.opened.length === 1);
  await keepTalking(first, second);
  expect(first.gone).to.deep.equal([]);
});

// Guards against a VM that is cut off losing its only way to the servers because the other side needs no link to it.
it('peers: a link that only the peer needs stays', async () => {
  const second = await startMesh('vm-2');
  const target = makeRecord('vm-2', second.mesh);
  let isTarget = true;
  const listTargets = (): EntryVmRecord[] => {
    const targets = isTarget ? [target] : [];
    isTarget = false;
    return targets;
  };
  const listDependents = (): VmId[] => ['vm-2' as VmId];
  const first = await startMesh('vm-1', 1, 0, { listTargets, listDependents });
  await waitUntil(() => first.opened.length === 1);
  await keepTalking(first, second);
  expect(first.gone).to.deep.equal([]);
});

it('peers: a link is dialled again after its peer restarts', async () => {
  const first = await startMesh('vm-1');
  const second = await startMesh('vm-2');
  first.directory.entryVms.push(makeRecord('vm-2', second.mesh));
  await waitUntil(() => first.opened.length === 1 && second.opened.length === 1);
  second.mesh.broadcast(HEARTBEAT);
  await waitUntil(() => first.heard.length === 1);
  const port = second.mesh.getPort();
  second.mesh.close();
  await waitUntil(() => first.gone.length === 1);
  const third = await startMesh('vm-2', 2, port);
  await waitUntil(() => first.opened.length === 2 && third.opened.length === 1);
});

it('peers: the wait before dialling again doubles up to a bound', () => {
  const vmId = 'vm-2' as VmId;
  const schedule = makeDialSchedule(() => 1);
  const waits: number[] = [];
  for (let failure = 0; failure < 8; failure += 1) {
    schedule.addFailure(vmId, 0);
    let now = 0;
    while (!schedule.isDue(vmId, now)) now += 250;
    waits.push(now);
  }
  expect(waits).to.deep.equal([250, 500, 1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
});

const FUTURE = { kind: 'from-a-later-version', detail: 7 } as unknown as PeerMessage;

/** Opens a link and returns it with the socket under it. */
async function openLinkAndSocket(
  to: TestMesh,
  self: PeerIdentity,
): Promise<{ link: PeerLink; socket: WebSocket; closes: string[] }> {
  const socket = dialRaw(to);
  const closes: string[] = [];
  const link = await new Promise<PeerLink>((resolve) => {
    socket.on('open', () => {
      startPeerLink(
        socket,
        { self, secrets: [SECRET], handshakeTimeoutMs: 1_000 },
        {
          onOpen: resolve,
          onMessage: () => undefined,
          onClose: (_link, detail) => closes.push(detail),
        },
      );
    });
  });
  return { link, socket, closes };
}

// Guards against versions whose links close again and again, because one says what the other does not know.
it('peers: a message of a kind that only a later version knows is left out and the link stays', async () => {
  const first = await startMesh('vm-1');
  const { link, socket, closes } = await openLinkAndSocket(first, makeIdentity('vm-9'));
  socket.send(encodePeerMessage(FUTURE));
  socket.send(encodePeerMessage(FUTURE));
  link.send(HEARTBEAT);
  await waitUntil(() => first.heard.length > 0);
  expect(first.heard).to.deep.equal(['heartbeat']);
  expect(closes).to.deep.equal([]);
});

it('peers: a message of an unknown kind before the proof closes the connection', async () => {
  const first = await startMesh('vm-1');
  const code = await sendFrames(first, [makeHello(1), encodePeerMessage(FUTURE)]);
  expect(code).to.equal(getCloseCode('proof-failed'));
});

it('peers: a message of a kind that the peer does not accept is not sent, and the sender is told so', async () => {
  const first = await startMesh('vm-1');
  const { link } = await openLinkAndSocket(first, makeIdentity('vm-9'));
  expect(link.send(FUTURE)).to.equal(false);
  expect(link.send(HEARTBEAT)).to.equal(true);
  await waitUntil(() => first.heard.length > 0);
  expect(first.heard).to.deep.equal(['heartbeat']);
});
