import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  makeUpstreamClient,
  type UpstreamCall,
  type UpstreamClient,
  type UpstreamEvent,
} from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
/** Time in which a connection becomes idle after its answer. */
const IDLE_MS = 3;

/** A request as the server reads it; `send` is another number each time that it is sent. */
type Arrival = { readonly socket: Socket; readonly requestId: string; readonly send: string };

type TestServer = {
  readonly server: Server;
  /** Connections by the order in which they opened. */
  readonly connections: Socket[];
  /** Answers each request with its own answer, unless a test sets another function. */
  onArrival: (arrival: Arrival) => void;
};

function readField(text: string, name: string): string {
  return new RegExp(`^${name}: (.+)\\r$`, 'imu').exec(text)?.[1] ?? '';
}

function buildAnswer(status: number, { send }: Arrival, requestId?: string): string {
  const name = requestId === undefined ? '' : `Request-Id: ${requestId}\r\n`;
  return `HTTP/1.1 ${status} S\r\n${name}X-Send: ${send}\r\nContent-Length: 2\r\n\r\nok`;
}

async function startServer(): Promise<TestServer> {
  const server = createServer({ noDelay: true });
  const testServer: TestServer = {
    server,
    connections: [],
    onArrival: (arrival) => {
      arrival.socket.write(buildAnswer(200, arrival, arrival.requestId));
    },
  };
  server.on('connection', (socket) => {
    testServer.connections.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const text = data.toString();
      const requestId = readField(text, 'request-id');
      testServer.onArrival({ socket, requestId, send: readField(text, 'x-send') });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return testServer;
}

function buildCall(server: Server, requestId: string | undefined, send: number): UpstreamCall {
  const { port } = server.address() as AddressInfo;
  const address = `${HOST}:${port}` as ClearedAddress;
  const name = requestId === undefined ? [] : ['Request-Id', requestId];
  const headers = ['Host', 'a.example', 'X-Send', String(send), ...name];
  return { address, requestId, method: 'GET', path: '/', headers, body: Buffer.alloc(0) };
}

/** How a send ended: whose answer the client gave, or the failure. */
type SendEnd = { readonly status: number; readonly send: string } | { readonly failure: string };

type TestClient = {
  readonly testServer: TestServer;
  /** Sends a request; resolves when its connection may be idle. */
  readonly send: (requestId: string | undefined) => Promise<SendEnd>;
};

let sendCount = 0;

async function awaitEnd(client: UpstreamClient, call: UpstreamCall): Promise<SendEnd> {
  return new Promise((resolve) => {
    let head: Extract<UpstreamEvent, { kind: 'head' }> | undefined;
    client.send(call, (event) => {
      if (event.kind === 'head') head = event;
      else if (event.kind === 'ended') {
        resolve({ status: head?.status ?? 0, send: String(head?.headers['x-send']) });
      } else if (event.kind === 'failed') {
        expect(event.isSent).to.equal(true);
        resolve({ failure: event.reason });
      }
    });
  });
}

async function withServer(check: (client: TestClient) => Promise<void>): Promise<void> {
  const testServer = await startServer();
  const client = makeUpstreamClient({
    keepsConnections: true,
    decodeRequestId: (headers) => headers['request-id'] as string | undefined,
  });
  const send = async (requestId: string | undefined): Promise<SendEnd> => {
    sendCount += 1;
    const end = await awaitEnd(client, buildCall(testServer.server, requestId, sendCount));
    await new Promise((resolve) => {
      setTimeout(resolve, IDLE_MS);
    });
    return end;
  };
  try {
    await check({ testServer, send });
  } finally {
    client.close();
    testServer.server.close();
    for (const socket of testServer.connections) socket.destroy();
  }
}

// Guards against an earlier answer that has the id of the request, as that was sent before.
it('upstream client: a request that is sent again gets a connection that has not carried it', async () => {
  await withServer(async ({ testServer, send }) => {
    const carried = new Map<Socket, string[]>();
    const { onArrival } = testServer;
    testServer.onArrival = (arrival) => {
      carried.set(arrival.socket, [...(carried.get(arrival.socket) ?? []), arrival.requestId]);
      onArrival(arrival);
    };
    for (const requestId of ['a', 'b', 'a', 'c', 'b', 'b']) {
      // eslint-disable-next-line no-await-in-loop -- one after the other, on idle connections
      expect(await send(requestId)).to.include({ status: 200 });
    }
    expect([...carried.values()]).to.deep.equal([['a', 'b', 'c'], ['a'], ['b'], ['b']]);
  });
});

// Guards against a refusal without an id that is taken for the answer to another request.
it('upstream client: an answer without an id on a kept connection belongs to no request', async () => {
  await withServer(async ({ testServer, send }) => {
    expect(await send('a')).to.include({ status: 200 });
    testServer.onArrival = (arrival) => arrival.socket.write(buildAnswer(503, arrival));
    expect(await send('b')).to.deep.equal({ failure: 'answer without an id on a kept connection' });
  });
});

it('upstream client: an answer without an id is used on a new connection, which is not kept', async () => {
  await withServer(async ({ testServer, send }) => {
    testServer.onArrival = (arrival) => arrival.socket.write(buildAnswer(503, arrival));
    expect(await send('a')).to.include({ status: 503 });
    expect(await send('b')).to.include({ status: 503 });
    expect(testServer.connections).to.have.length(2);
  });
});

// Guards against a refusal that lies unread before the request is written.
it('upstream client: an answer that comes just before the request belongs to another one', async () => {
  await withServer(async ({ testServer, send }) => {
    expect(await send('a')).to.include({ status: 200 });
    const [socket] = testServer.connections;
    if (socket === undefined) throw new Error('no connection');
    socket.write(buildAnswer(503, { socket, requestId: 'a', send: 'again' }, 'a'));
    expect(await send('b')).to.deep.equal({ failure: 'answer to another request' });
  });
});

it('upstream client: requests without an id, and with a long one, have connections of their own', async () => {
  await withServer(async ({ testServer, send }) => {
    for (const requestId of ['a', undefined, undefined, 'x'.repeat(65), 'b']) {
      // eslint-disable-next-line no-await-in-loop -- one after the other, on idle connections
      expect(await send(requestId)).to.include({ status: 200 });
    }
    expect(testServer.connections).to.have.length(4);
  });
});

it('upstream client: a connection carries as many requests as it remembers', async () => {
  await withServer(async ({ testServer, send }) => {
    for (let count = 0; count < 257; count += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after the other, on one connection
      expect(await send(`r${count}`)).to.include({ status: 200 });
    }
    expect(testServer.connections).to.have.length(2);
  });
});

type Step = {
  readonly requestId: string;
  readonly status: number;
  readonly isUnnamed: boolean;
  /** An earlier answer of the connection that is written again, counted back; undefined for none. */
  readonly repeated: number | undefined;
  readonly when: 'before-request' | 'before-answer';
  /** Whether the id is left out of what is written again. */
  readonly losesId: boolean;
};

const STEP: fc.Arbitrary<Step> = fc.record({
  requestId: fc.constantFrom('a', 'b', 'c', 'd'),
  status: fc.constantFrom(200, 200, 421, 429, 500, 503),
  isUnnamed: fc.constantFrom(false, false, false, true),
  repeated: fc.option(fc.nat({ max: 3 }), { nil: undefined }),
  when: fc.constantFrom('before-request', 'before-answer'),
  losesId: fc.boolean(),
});

type Written = { readonly named: string; readonly unnamed: string };

/** A server that writes earlier answers of a connection again. */
function makeRepeater(testServer: TestServer) {
  const written = new Map<Socket, Written[]>();
  let last: Socket | undefined;
  let hasRepeated = false;

  function repeat(socket: Socket, { repeated, losesId }: Step): void {
    const answer = repeated === undefined ? undefined : written.get(socket)?.at(-1 - repeated);
    if (answer === undefined || socket.destroyed) return;
    hasRepeated = true;
    socket.write(losesId ? answer.unnamed : answer.named);
  }

  return {
    startStep: (step: Step): void => {
      if (step.when === 'before-request' && last !== undefined) repeat(last, step);
      testServer.onArrival = (arrival) => {
        const { socket, requestId } = arrival;
        last = socket;
        if (step.when === 'before-answer') repeat(socket, step);
        const named = buildAnswer(step.status, arrival, requestId);
        const unnamed = buildAnswer(step.status, arrival);
        written.set(socket, [...(written.get(socket) ?? []), { named, unnamed }]);
        socket.write(step.isUnnamed ? unnamed : named);
      };
    },
    /** Whether any answer was written again, at this step or before. */
    hasRepeated: () => hasRepeated,
  };
}

// Guards against any order of sends and repeated answers in which one is taken for another.
it('upstream client: no answer that a server writes again is taken for a later one, in any order', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, { minLength: 2, maxLength: 12 }), async (steps) => {
      await withServer(async ({ testServer, send }) => {
        const repeater = makeRepeater(testServer);
        for (const step of steps) {
          repeater.startStep(step);
          // eslint-disable-next-line no-await-in-loop -- one after the other, on idle connections
          const end = await send(step.requestId);
          const isExplained = 'send' in end || repeater.hasRepeated() || step.isUnnamed;
          expect(isExplained, JSON.stringify(end)).to.equal(true);
          if (!('send' in end)) continue;
          expect(end).to.deep.equal({ status: step.status, send: `${sendCount}` });
        }
      });
    }),
  );
});
