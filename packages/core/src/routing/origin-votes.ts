/**
 * Judges where a stream began from what several VMs say. Each one says where the streams that it knows
 * began, where those may have begun that it was not told of, and where any stream may have.
 */

import { isSameOrigin, type StreamOrigin } from './stream-origins.js';

/** What one VM says of a stream. */
export type OriginVote = {
  /** Where the streams that it knows began: several only if they are found by their content. */
  readonly known: readonly StreamOrigin[];
  /** Where a stream that it was not told of may have begun; undefined if that may be anywhere. */
  readonly untold?: readonly StreamOrigin[] | undefined;
  /** Where any stream may have begun that can be resumed; undefined if that may be anywhere. */
  readonly used?: readonly StreamOrigin[] | undefined;
};

/** Finds the only one of some origins; undefined if there are several or none. */
function findOnlyOrigin(origins: readonly StreamOrigin[]): StreamOrigin | undefined {
  const [first, ...others] = origins;
  if (first === undefined) return undefined;
  return others.every((other) => isSameOrigin(other, first)) ? first : undefined;
}

/** Whether some VM was told of every stream that did not begin at this origin. */
function isToldOfOthers(votes: readonly OriginVote[], origin: StreamOrigin): boolean {
  return votes.some(({ untold }) => untold?.every((other) => isSameOrigin(other, origin)));
}

/**
 * Finds where a stream began; undefined if that is not certain. One that its caller does not name is any
 * that has its content; one that no VM knows may have begun wherever streams began.
 */
export function findVotedOrigin(
  votes: readonly OriginVote[],
  isNamed: boolean,
): StreamOrigin | undefined {
  const known = votes.flatMap((vote) => vote.known);
  if (known.length === 0) return findOnlyOrigin(votes.flatMap(({ used }) => used ?? []));
  if (isNamed) return known[0];
  const origin = findOnlyOrigin(known);
  return origin !== undefined && isToldOfOthers(votes, origin) ? origin : undefined;
}
