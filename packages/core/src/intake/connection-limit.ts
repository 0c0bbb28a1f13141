/** Decides how many connections of callers a machine may have, and which of them is closed beyond that. */

/** Descriptors that belong to files. */
const FILE_DESCRIPTORS = 200;
/** Listeners, pipes, and connections to the store. */
const OWN_DESCRIPTORS = 32;
/** A link to another VM may be open twice while it is replaced. */
const DESCRIPTORS_PER_PEER = 2;
/** Each request that is under way has a connection to a server beside that of its caller. */
const CALLER_SHARE = 0.5;
/** However few descriptors there are, so many callers are served. */
const MIN_CONNECTIONS = 16;

/** Computes the limit of callers' connections from a machine's descriptors; none without them. */
export function computeConnectionLimit(maxFds: number | undefined, peerCount: number): number {
  if (maxFds === undefined) return Infinity;
  const left = maxFds - FILE_DESCRIPTORS - OWN_DESCRIPTORS - DESCRIPTORS_PER_PEER * peerCount;
  return Math.max(MIN_CONNECTIONS, Math.floor(left * CALLER_SHARE));
}

/** What is known of one connection of a caller. */
export type ConnectionProgress = {
  /** Requests that are read as a whole and not yet answered. */
  readonly running: number;
  /** When it was opened, a head or enough of a body was read, or an answer ended. */
  readonly progressAt: number;
};

/** Chooses the connection that has gone longest without progress; none on which a request runs. */
export function chooseClosable<T extends ConnectionProgress>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  for (const connection of connections) {
    if (connection.running > 0) continue;
    if (chosen === undefined || connection.progressAt < chosen.progressAt) chosen = connection;
  }
  return chosen;
}
