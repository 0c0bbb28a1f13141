/** Timers for tasks. */

import { makeChannel, offer, receive, type Channel, type Task } from './tasks.js';

/** Waits inside a task. */
export function* waitMs(milliseconds: number): Task {
  const channel = makeChannel<true>(1);
  setTimeout(() => offer(channel, true), milliseconds);
  yield* receive(channel);
}

/** Stops a ticker. */
export type StopTicker = () => void;

/** Offers a message made for each tick until stopped; ticks are dropped while the channel is full. */
export function startTicker<T>(
  channel: Channel<T>,
  intervalMs: number,
  makeMessage: (now: number) => T,
): StopTicker {
  const timer = setInterval(() => offer(channel, makeMessage(Date.now())), intervalMs);
  return () => clearInterval(timer);
}

/** Wakes a task once at a time that may be moved forward. */
export type Alarm = {
  /** Sets the time, in milliseconds since the epoch; a later one than is set already is ignored. */
  readonly set: (at: number) => void;
  readonly cancel: () => void;
};

const MAX_TIMEOUT_MS = 2_147_483_647;

/** Makes an alarm that offers a message made at the time it goes off. */
export function makeAlarm<T>(channel: Channel<T>, makeMessage: (now: number) => T): Alarm {
  let timer: NodeJS.Timeout | undefined;
  let dueAt = Infinity;
  return {
    set: (at) => {
      if (at >= dueAt) return;
      clearTimeout(timer);
      dueAt = at;
      const delayMs = Math.min(MAX_TIMEOUT_MS, Math.max(0, at - Date.now()));
      timer = setTimeout(() => {
        dueAt = Infinity;
        offer(channel, makeMessage(Date.now()));
      }, delayMs);
    },
    cancel: () => clearTimeout(timer),
  };
}

/** How often an adaptive ticker ticks. */
export type AdaptiveTickerParts = {
  readonly busyMs: number;
  readonly idleMs: number;
  readonly isBusy: () => boolean;
  readonly onTick: () => void;
};

/** A ticker that ticks rarely while nothing is under way. */
export type AdaptiveTicker = {
  /** Ends an idle wait; the next tick comes after the busy interval. */
  readonly wake: () => void;
};

/** Starts a ticker that runs as long as the process. */
export function startAdaptiveTicker(parts: AdaptiveTickerParts): AdaptiveTicker {
  const { busyMs, idleMs, isBusy, onTick } = parts;
  const state: { timer: NodeJS.Timeout | undefined; isFast: boolean } = {
    timer: undefined,
    isFast: false,
  };

  function schedule(isFast: boolean): void {
    state.isFast = isFast;
    state.timer = setTimeout(
      () => {
        onTick();
        schedule(isBusy());
      },
      isFast ? busyMs : idleMs,
    );
  }

  schedule(isBusy());
  return {
    wake: () => {
      if (state.isFast) return;
      clearTimeout(state.timer);
      schedule(true);
    },
  };
}
