/** Typed tasks and channels over js-csp. */

import csp, { type Chan } from 'js-csp';

/** A channel of messages to one task. */
export type Channel<T> = Chan<T>;

/** Body of a task; `yield*` waits for messages. */
export type Task<R = void> = Generator<unknown, R, unknown>;

/** Makes a channel that holds up to `capacity` messages. */
export function makeChannel<T>(capacity: number): Channel<T> {
  return csp.chan<T>(capacity);
}

/** Receives the next message, or undefined once the channel is closed and empty. */
export function* receive<T>(channel: Channel<T>): Task<T | undefined> {
  const message = yield csp.take(channel);
  return message === csp.CLOSED ? undefined : (message as T);
}

/** Sends a message without waiting; false if the channel is full or closed. */
export function offer<T>(channel: Channel<T>, message: T): boolean {
  return csp.offer(channel, message);
}

type Settled<T> =
  | { readonly kind: 'value'; readonly value: T }
  | { readonly kind: 'error'; readonly error: unknown };

/** Waits for a promise inside a task; throws what the promise rejects with. */
export function* awaitPromise<T>(promise: Promise<T>): Task<T> {
  const channel = makeChannel<Settled<T>>(1);
  promise.then(
    (value) => offer(channel, { kind: 'value', value }),
    (error: unknown) => offer(channel, { kind: 'error', error }),
  );
  const settled = yield* receive(channel);
  if (settled === undefined) throw new Error('promise channel closed');
  if (settled.kind === 'error') throw settled.error;
  return settled.value;
}

/** Hears the end of a task, and the error if it failed. */
export type TaskEndHandler = (name: string, error?: unknown) => void;

/** Starts a task under a name. */
export function startTask(name: string, body: () => Task, onEnd: TaskEndHandler): void {
  csp.go(function* run() {
    try {
      yield* body();
      onEnd(name);
    } catch (error) {
      onEnd(name, error);
    }
  });
}
