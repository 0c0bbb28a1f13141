/** Peer links and membership: bytes, processor time and memory against the number of peers. */

import { createServer } from 'node:http';
import { WebSocket, WebSocketServer } from 'ws';
import {
  handleMembershipEvent,
  listOwners,
  makeMembershipState,
} from '../../packages/core/dist/index.js';
import { encodePeerMessage } from '../../packages/protocol/dist/index.js';
import { startPeerLink } from '../../packages/router/dist/peers/peer-link.js';
import { measureCpu, measureKept, measureMemory, waitMs } from './measure.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const SECRETS = ['slopes-secret-0123456789'];
const COPIES = 40;
const ROUNDS = 200;
const ROUND_INTERVAL_MS = 5;
const LINK_TIMEOUT_MS = 600_000;

function makeHeartbeat(leaving, shards) {
  const summaries = Array.from({ length: shards }, (_, index) => ({
    shardId: `declaration-llm/lk-west/${index}`,
    owner: 'vm-100',
    startAt: Array(10).fill(1_796_354_481_790),
  }));
  return {
    kind: 'heartbeat',
    sentAt: 1_796_354_481_790,
    isLeaving: false,
    rulesRevision: 33_000,
    summaries,
    leaving: Array.from({ length: leaving }, (_, index) => ({
      upstreamId: `declaration-llm-${index}`,
      incarnation: 1_796_354_481_790,
    })),
  };
}

function listen(server) {
  return new Promise((resolve) => {
    server.listen(0, HOST, () => resolve(server.address().port));
  });
}

/** Opens links from one process to itself: both ends of each link are measured together. */
async function openLinks(count) {
  const http = createServer();
  const server = new WebSocketServer({ server: http, perMessageDeflate: false });
  const port = await listen(http);
  const links = [];
  let received = 0;
  const makeHandler = (isDialler) => ({
    onOpen: (link) => {
      if (isDialler) links.push(link);
    },
    onMessage: () => {
      received += 1;
    },
    onClose: () => undefined,
  });
  const makeParts = (vmId) => ({
    self: { vmId, incarnation: 1, dataCentre: 'negombo' },
    secrets: SECRETS,
    silenceTimeoutMs: LINK_TIMEOUT_MS,
    handshakeTimeoutMs: LINK_TIMEOUT_MS,
  });
  server.on('connection', (socket) => {
    startPeerLink(socket, makeParts('vm-0'), makeHandler(false));
  });
  const sockets = [];
  for (let index = 1; index <= count; index += 1) {
    const socket = new WebSocket(`ws://${HOST}:${port}/peer`, { perMessageDeflate: false });
    sockets.push(socket);
    socket.on('open', () => {
      startPeerLink(socket, makeParts(`vm-${index}`), makeHandler(true));
    });
  }
  while (links.length < count) await waitMs(5);
  const close = () => {
    for (const socket of sockets) socket.terminate();
    server.close();
    http.close();
  };
  return { links, close, countReceived: () => received };
}

async function measureLinks(count) {
  const before = measureMemory();
  const { links, close, countReceived } = await openLinks(count);
  const bytes = measureMemory() - before;
  const heartbeat = makeHeartbeat(2, 1);
  const start = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const link of links) link.send(heartbeat);
    await waitMs(ROUND_INTERVAL_MS);
  }
  while (countReceived() < ROUNDS * count) await waitMs(1);
  const { user, system } = process.cpuUsage(start);
  close();
  return { cpuUs: (user + system) / ROUNDS, bytes: bytes / 2 };
}

/** Measures links, heartbeats and membership. */
export async function measurePeers() {
  const linkCpu = [];
  const linkBytes = [];
  await measureLinks(20);
  for (const size of [10, 40, 120, 240]) {
    const { cpuUs, bytes } = await measureLinks(size);
    linkCpu.push({ size, value: cpuUs });
    linkBytes.push({ size, value: bytes });
  }
  const frame = (leaving, shards) => encodePeerMessage(makeHeartbeat(leaving, shards)).length;
  const vmIds = (count) => Array.from({ length: count }, (_, index) => `vm-${index}`);
  const member = [];
  const memberCpu = [];
  const owners = [];
  for (const size of [10, 100, 380]) {
    const hear = (state, index, now) =>
      handleMembershipEvent(state, {
        ...makeHeartbeat(0, 0),
        vmId: `vm-${index % size}`,
        incarnation: 1,
        now,
      });
    const { made, bytes } = measureKept(() => {
      const state = makeMembershipState('vm-0');
      for (let index = 1; index < size; index += 1) hear(state, index, 1);
      return state;
    }, COPIES);
    member.push({ size, value: bytes });
    memberCpu.push({ size, value: measureCpu(20_000, (index) => hear(made, index, index)) });
    const names = vmIds(size);
    owners.push({ size, value: measureCpu(300, (index) => listOwners(`shard-${index}`, names)) });
  }
  return [
    {
      role: 'peer links',
      what: 'processor time to send and take one heartbeat on each link',
      unit: 'µs',
      per: 'peer',
      points: linkCpu,
    },
    {
      role: 'peer links',
      what: 'heap and buffers of one end of a link',
      unit: 'bytes',
      per: 'peer',
      points: linkBytes,
    },
    {
      role: 'peer links',
      what: 'frame of a heartbeat without summaries',
      unit: 'bytes',
      per: 'leaving mark',
      points: [0, 10, 100].map((size) => ({ size, value: frame(size, 0) })),
    },
    {
      role: 'peer links',
      what: 'frame of a heartbeat without marks',
      unit: 'bytes',
      per: 'shard summary',
      points: [0, 1, 8].map((size) => ({ size, value: frame(0, size) })),
    },
    {
      role: 'membership',
      what: 'state of one VM',
      unit: 'bytes',
      per: 'member',
      points: member,
    },
    {
      role: 'membership',
      what: 'processor time to take one heartbeat',
      unit: 'µs',
      per: 'member',
      points: memberCpu,
    },
    {
      role: 'membership',
      what: 'processor time to order the owners of one shard',
      unit: 'µs',
      per: 'member',
      points: owners,
    },
  ];
}
