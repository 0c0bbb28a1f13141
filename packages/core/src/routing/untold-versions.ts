/**
 * Streams of which one VM was not told although it is told of those of all VMs: the software versions
 * at which they may have begun, and until when their callers may resume them. Times are milliseconds on
 * the steady clock.
 */

import type { SoftwareVersion } from '@tarragonspool/protocol';

/** Versions of streams that a VM was not told of. */
export type UntoldVersions = {
  /** Until then such a stream may have begun at any version. */
  anyUntil: number;
  readonly untilByVersion: Map<SoftwareVersion, number>;
};

/** Makes the versions of a VM that was told of everything. */
export function makeUntoldVersions(): UntoldVersions {
  return { anyUntil: -Infinity, untilByVersion: new Map() };
}

/** Adds versions of streams that may be resumed until a time; undefined stands for any version. */
export function addUntoldVersions(
  untold: UntoldVersions,
  versions: readonly SoftwareVersion[] | undefined,
  until: number,
): void {
  if (versions === undefined) {
    untold.anyUntil = Math.max(untold.anyUntil, until);
    return;
  }
  for (const version of versions) {
    const known = untold.untilByVersion.get(version) ?? -Infinity;
    untold.untilByVersion.set(version, Math.max(known, until));
  }
}

/** Lists the versions of streams that may still be resumed; undefined if that may be any. */
export function listUntoldVersions(
  { anyUntil, untilByVersion }: UntoldVersions,
  now: number,
): SoftwareVersion[] | undefined {
  if (anyUntil > now) return undefined;
  return [...untilByVersion].filter(([, until]) => until > now).map(([version]) => version);
}

function findUntil({ anyUntil, untilByVersion }: UntoldVersions, version: SoftwareVersion): number {
  return Math.max(anyUntil, untilByVersion.get(version) ?? -Infinity);
}

/**
 * Merges what two VMs were not told of, after one has told the other all that it knows: what remains was
 * told to neither.
 */
export function mergeUntoldVersions(one: UntoldVersions, other: UntoldVersions): UntoldVersions {
  const merged = makeUntoldVersions();
  merged.anyUntil = Math.min(one.anyUntil, other.anyUntil);
  for (const version of [...one.untilByVersion.keys(), ...other.untilByVersion.keys()]) {
    const until = Math.min(findUntil(one, version), findUntil(other, version));
    if (until > -Infinity) merged.untilByVersion.set(version, until);
  }
  return merged;
}

/** Collects what one VM was not told of for several reasons. */
export function collectUntoldVersions(parts: readonly UntoldVersions[]): UntoldVersions {
  const collected = makeUntoldVersions();
  for (const { anyUntil, untilByVersion } of parts) {
    collected.anyUntil = Math.max(collected.anyUntil, anyUntil);
    for (const [version, until] of untilByVersion) addUntoldVersions(collected, [version], until);
  }
  return collected;
}
