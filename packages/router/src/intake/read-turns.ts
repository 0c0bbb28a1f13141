/**
 * Reads the connections of a server in turns. Node's parser reads up to 64 KB of a connection at once and calls back
 * for each chunk, and does so for all connections before a timer or another socket gets its turn: chunks of a byte take
 * some 10 ms a connection. Here a connection is parsed in slices, the one that has taken least time first, and no
 * longer than a few milliseconds in each turn of the event loop.
 */

import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { makeFairQueue } from '@tarragonspool/core';
import { getSteadyMs } from '../time/steady-clock.js';

/** Parsing takes no longer than this in a turn of the event loop, and one slice. */
const TURN_MS = 4;
/** Slices are made so large that each takes about this long. */
const SLICE_MS = 1;
const FIRST_SLICE_BYTES = 4_096;
const MIN_SLICE_BYTES = 2_048;
/** As much as Node reads at once. */
const MAX_SLICE_BYTES = 65_536;

type Reading = {
  readonly socket: Socket;
  /** Node's HTTP server asks for a pause while answers or a body are not taken. */
  isPaused: boolean;
  /** So many requests that were sent ahead wait for their turn that no more are parsed. */
  isSuspended: boolean;
  sliceBytes: number;
  /** Bytes that were read and wait to be parsed. */
  waitingBytes: number;
};

/** What the turns report, and the bound of what they read ahead. */
export type ReadTurnParts = {
  /** Bytes of all connections that may wait to be parsed; no bound if absent. */
  readonly getMaxWaitingBytes?: () => number;
  /** Closes a connection, with so many bytes that wait, as all together are too many. */
  readonly onTooManyBytes?: (socket: Socket, waitingBytes: number) => void;
  /** Called after each slice. */
  readonly onParsed?: (socket: Socket, bytes: number) => void;
};

/** The turns of one server. */
export type ReadTurns = {
  /** Parses nothing more of a connection, or goes on. */
  readonly setSuspended: (socket: Socket, isSuspended: boolean) => void;
};

/** Sizes the next slice of a connection by what the last one took; `bytes` may be fewer than the slice had room for. */
export function computeSliceBytes(sliceBytes: number, bytes: number, tookMs: number): number {
  if (tookMs > SLICE_MS) {
    const fitting = Math.floor((bytes * SLICE_MS) / tookMs);
    return Math.min(sliceBytes, Math.max(MIN_SLICE_BYTES, fitting));
  }
  // A cheap slice may be followed by a costly one, so that sizes grow in steps.
  const isCheap = bytes === sliceBytes && 2 * tookMs <= SLICE_MS;
  return isCheap ? Math.min(2 * sliceBytes, MAX_SLICE_BYTES) : sliceBytes;
}

/** Counts the bytes of all connections that wait to be parsed, and keeps them within a bound. */
function makeWaitingBytes(
  { getMaxWaitingBytes, onTooManyBytes }: ReadTurnParts,
  getCost: (reading: Reading) => number,
) {
  /** Connections with any such bytes. */
  const waiting = new Set<Reading>();
  let total = 0;

  function setBytes(reading: Reading, bytes: number): void {
    total += bytes - reading.waitingBytes;
    reading.waitingBytes = bytes;
    if (bytes > 0) waiting.add(reading);
    else waiting.delete(reading);
  }

  /** Finds the connection whose parsing has cost most; one that waits for its own caller goes before all others. */
  function findCostliest(): Reading | undefined {
    let costliest: Reading | undefined;
    let highest = -Infinity;
    for (const reading of waiting) {
      const cost = reading.isPaused || reading.isSuspended ? Infinity : getCost(reading);
      if (costliest !== undefined && cost <= highest) continue;
      costliest = reading;
      highest = cost;
    }
    return costliest;
  }

  return {
    update: (reading: Reading): void => {
      const { socket } = reading;
      setBytes(reading, socket.destroyed ? 0 : socket.readableLength);
    },
    forget: (reading: Reading): void => setBytes(reading, 0),
    /** Closes connections as long as there are too many bytes. */
    closeBeyondLimit: (): void => {
      if (getMaxWaitingBytes === undefined) return;
      const maxBytes = getMaxWaitingBytes();
      while (total > maxBytes) {
        const reading = findCostliest();
        if (reading === undefined) return;
        const bytes = reading.waitingBytes;
        setBytes(reading, 0);
        onTooManyBytes?.(reading.socket, bytes);
      }
    },
  };
}

/** Reads all connections of a server in turns from now on. */
export function readInTurns(server: Server, parts: ReadTurnParts = {}): ReadTurns {
  const queue = makeFairQueue<Reading>();
  const readings = new WeakMap<Socket, Reading>();
  const waitingBytes = makeWaitingBytes(parts, queue.getCost);
  let spentMs = 0;
  let isTurnScheduled = false;
  let isStepScheduled = false;

  function isStopped({ socket, isPaused, isSuspended }: Reading): boolean {
    return socket.destroyed || isPaused || isSuspended;
  }

  function readSlice(reading: Reading): void {
    const { socket } = reading;
    if (isStopped(reading)) return;
    const bytes = Math.min(reading.sliceBytes, socket.readableLength);
    if (bytes > 0) {
      const beganAt = getSteadyMs();
      // Hands the slice to Node's parser, which listens for data.
      socket.read(bytes);
      const tookMs = getSteadyMs() - beganAt;
      spentMs += tookMs;
      queue.charge(reading, tookMs);
      reading.sliceBytes = computeSliceBytes(reading.sliceBytes, bytes, tookMs);
      waitingBytes.update(reading);
      parts.onParsed?.(socket, bytes);
    }
    if (socket.readableLength > 0) queue.add(reading);
    // Asks for more, and for the end of the connection if there is no more.
    else socket.read();
  }

  function step(): void {
    isStepScheduled = false;
    if (spentMs < TURN_MS) {
      const reading = queue.take();
      if (reading !== undefined) readSlice(reading);
    }
    if (!isTurnScheduled && (spentMs > 0 || queue.count() > 0)) {
      isTurnScheduled = true;
      setImmediate(() => {
        isTurnScheduled = false;
        spentMs = 0;
        if (queue.count() > 0 && !isStepScheduled) step();
      });
    }
    if (isStepScheduled || queue.count() === 0 || spentMs >= TURN_MS) return;
    // Slices follow each other in ticks, so that what one slice has deferred runs before the next one.
    isStepScheduled = true;
    process.nextTick(step);
  }

  function enqueue(reading: Reading): void {
    if (isStopped(reading)) return;
    queue.add(reading);
    if (!isStepScheduled) step();
  }

  server.on('connection', (socket: Socket) => {
    const reading: Reading = {
      socket,
      isPaused: false,
      isSuspended: false,
      sliceBytes: FIRST_SLICE_BYTES,
      waitingBytes: 0,
    };
    readings.set(socket, reading);
    // While a socket is read on request, Node's own pauses have no effect.
    socket.pause = () => {
      reading.isPaused = true;
      return socket;
    };
    socket.resume = () => {
      const wasPaused = reading.isPaused;
      reading.isPaused = false;
      if (wasPaused) process.nextTick(enqueue, reading);
      return socket;
    };
    // A read is not always told as readable, and what it brought must count before the next connection is read.
    const push = socket.push.bind(socket);
    socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
      const isMoreWanted = push(chunk, encoding);
      waitingBytes.update(reading);
      waitingBytes.closeBeyondLimit();
      return isMoreWanted;
    };
    socket.on('readable', () => enqueue(reading));
    socket.once('close', () => {
      queue.remove(reading);
      waitingBytes.forget(reading);
    });
  });

  return {
    setSuspended: (socket, isSuspended) => {
      const reading = readings.get(socket);
      if (reading === undefined || reading.isSuspended === isSuspended) return;
      reading.isSuspended = isSuspended;
      if (!isSuspended) process.nextTick(enqueue, reading);
    },
  };
}
