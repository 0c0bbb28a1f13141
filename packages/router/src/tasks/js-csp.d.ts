declare module 'js-csp' {
  export type Chan<T> = { close(): void; readonly brand?: T };
  const csp: {
    chan<T>(bufferOrSize?: unknown): Chan<T>;
    take(channel: Chan<unknown>): unknown;
    put(channel: Chan<unknown>, value: unknown): unknown;
    go(task: () => Generator<unknown, unknown, unknown>): Chan<unknown>;
    offer<T>(channel: Chan<T>, value: T): boolean;
    CLOSED: null;
  };
  export default csp;
}
