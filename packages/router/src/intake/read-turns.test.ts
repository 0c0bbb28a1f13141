import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { computeSliceBytes, readInTurns, type ReadTurnParts } from './read-turns.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';

/** Most that Node reads of a connection at once. */
const READ_BYTES = 65_536;

async function withServer(
  onRequest: Parameters<typeof createServer>[1],
  check: (dial: () => Socket, server: Server) => Promise<void>,
  parts?: ReadTurnParts,
): Promise<void> {
  const server: Server = createServer(onRequest);
  readInTurns(server, parts);
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  try {
    await check(() => {
      const socket = connect(port, HOST);
      socket.on('error', () => undefined);
      return socket;
    }, server);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

/** Reads all that comes until the connection closes. */
function readAll(socket: Socket): Promise<string> {
  let text = '';
  socket.on('data', (bytes) => {
    text += String(bytes);
  });
  return new Promise((resolve) => {
    socket.once('close', () => resolve(text));
  });
}

// Guards against slices that grow so fast that costly bytes behind cheap ones take a whole turn.
it('read turns: slices grow in steps while they are cheap and shrink at once when they are costly', () => {
  expect(computeSliceBytes(4_096, 4_096, 0.1)).to.equal(8_192);
  expect(computeSliceBytes(65_536, 65_536, 0.1)).to.equal(65_536);
  expect(computeSliceBytes(4_096, 100, 0.1)).to.equal(4_096);
  expect(computeSliceBytes(4_096, 4_096, 0.8)).to.equal(4_096);
  expect(computeSliceBytes(65_536, 65_536, 10)).to.equal(6_553);
  expect(computeSliceBytes(4_096, 200, 5)).to.equal(2_048);
});

// Guards against bytes that are lost, repeated or out of order between slices.
it('read turns: a long body and requests behind it arrive whole, each in its order', async () => {
  const paths: string[] = [];
  await withServer(
    (incoming, response) => {
      const pieces: Buffer[] = [];
      incoming.on('data', (piece: Buffer) => pieces.push(piece));
      incoming.on('end', () => {
        paths.push(incoming.url ?? '');
        response.end(`<${Buffer.concat(pieces).toString()}>`);
      });
    },
    async (dial) => {
      const body = Array.from({ length: 60_000 }, (_, index) => String(index % 10)).join('');
      const chunks = [...body].map((digit) => `1\r\n${digit}\r\n`).join('');
      const socket = dial();
      const answer = readAll(socket);
      const first = 'POST /0 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
      const rest = Array.from({ length: 50 }, (_, index) => index + 1).map((index) => {
        const last = index === 50 ? 'Connection: close\r\n' : '';
        return `POST /${index} HTTP/1.1\r\nHost: a\r\n${last}Content-Length: 2\r\n\r\nok`;
      });
      socket.write(`${first}${chunks}0\r\n\r\n${rest.join('')}`);
      const text = await answer;
      expect(text.includes(`<${body}>`)).to.equal(true);
      expect(text.split('<ok>').length - 1).to.equal(50);
      expect(paths).to.deep.equal(Array.from({ length: 51 }, (_, index) => `/${index}`));
    },
  );
});

// Guards against a connection that is read on while its body is not taken, or is never read again.
it('read turns: a body that is not taken for a while stops its connection, and is whole in the end', async () => {
  const bodyBytes = 8_000_000;
  let readEarly = 0;
  await withServer(
    (incoming, response) => {
      const { socket } = incoming;
      setTimeout(() => {
        readEarly = socket.bytesRead;
        let bytes = 0;
        incoming.on('data', (piece: Buffer) => {
          bytes += piece.length;
        });
        incoming.on('end', () => response.end(`<${bytes}>`));
      }, 200);
    },
    async (dial) => {
      const socket = dial();
      const answer = readAll(socket);
      const fields = `Host: a\r\nConnection: close\r\nContent-Length: ${bodyBytes}`;
      socket.write(`POST / HTTP/1.1\r\n${fields}\r\n\r\n`);
      socket.write(Buffer.alloc(bodyBytes));
      expect((await answer).includes(`<${bodyBytes}>`)).to.equal(true);
      expect(readEarly).to.be.below(1_000_000);
    },
  );
});

// Guards against a caller that leaves and whose request is never told.
it('read turns: a caller that leaves is noticed in its body and while its answer is awaited', async () => {
  let left = 0;
  let begun = 0;
  const onLeft = new Promise<void>((resolve) => {
    const countLeft = (): void => {
      left += 1;
      if (left === 2) resolve();
    };
    withServer(
      (incoming, response) => {
        begun += 1;
        incoming.resume();
        response.once('close', countLeft);
      },
      async (dial) => {
        const inBody = dial();
        inBody.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx');
        const inAnswer = dial();
        inAnswer.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
        while (begun < 2) {
          // eslint-disable-next-line no-await-in-loop -- asked again until both are there
          await new Promise((resume) => {
            setTimeout(resume, 10);
          });
        }
        inBody.destroy();
        inAnswer.resetAndDestroy();
        await onLeft;
      },
    ).catch(() => undefined);
  });
  await onLeft;
  expect(left).to.equal(2);
});

// Guards against a timer or another connection that waits until all that has been sent is parsed.
it('read turns: timers run while many connections send small chunks', async () => {
  let pieces = 0;
  let mostBetween = 0;
  await withServer(
    (incoming) =>
      incoming.on('data', () => {
        pieces += 1;
      }),
    async (dial) => {
      const chunks = Buffer.from('1\r\nx\r\n'.repeat(10_000));
      const sockets = Array.from({ length: 100 }, () => {
        const socket = dial();
        socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
        socket.write(chunks);
        return socket;
      });
      while (pieces < 500_000) {
        const earlier = pieces;
        // eslint-disable-next-line no-await-in-loop -- one timer after the other
        await new Promise((resume) => {
          setTimeout(resume, 1);
        });
        mostBetween = Math.max(mostBetween, pieces - earlier);
      }
      for (const socket of sockets) socket.destroy();
    },
  );
  // One read of each connection is a million.
  expect(mostBetween).to.be.below(200_000);
});

// Guards against bytes of many connections that were read and wait to be parsed.
it('read turns: beyond their limit the connections whose parsing costs most are closed, and others are served', async () => {
  const limitBytes = 500_000;
  const callers = 40;
  const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
  let closed = 0;
  const parts: ReadTurnParts = {
    getMaxWaitingBytes: () => limitBytes,
    onTooManyBytes: (socket, bytes) => {
      expect(bytes).to.be.greaterThan(0);
      closed += 1;
      socket.destroy();
    },
  };
  await withServer(
    (incoming, response) => {
      incoming.resume();
      incoming.on('end', () => response.end('whole'));
    },
    async (dial, server) => {
      const accepted: Socket[] = [];
      server.on('connection', (socket: Socket) => accepted.push(socket));
      let mostWaiting = 0;
      const watch = setInterval(() => {
        const open = accepted.filter(({ destroyed }) => !destroyed);
        const waiting = open.reduce((sum, { readableLength }) => sum + readableLength, 0);
        mostWaiting = Math.max(mostWaiting, waiting);
      }, 2);
      const sockets = Array.from({ length: callers }, () => {
        const socket = dial();
        socket.write(head);
        socket.write('1\r\nx\r\n'.repeat(60_000));
        return socket;
      });
      await new Promise((resolve) => {
        setTimeout(resolve, 300);
      });
      const ordinary = dial();
      ordinary.write(
        `POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n`,
      );
      ordinary.write('y'.repeat(100_000));
      expect(await readAll(ordinary)).to.match(/^HTTP\/1.1 200 /u);
      clearInterval(watch);
      expect(closed).to.be.greaterThan(0);
      expect(mostWaiting).to.be.within(limitBytes / 2, limitBytes + READ_BYTES);
      for (const socket of sockets) socket.destroy();
    },
    parts,
  );
});
