/**
 * For which services this VM is a home, and what it was not told of meanwhile: the streams that began
 * before it was one, those of a VM that was lost before it told of them, and those that it had to forget.
 */

import {
  addUntoldVersions,
  collectUntoldVersions,
  listUntoldVersions,
  makeUntoldVersions,
  mergeUntoldVersions,
  type StreamOrigin,
  type UntoldVersions,
} from '@tarragonspool/core';
import type { OriginMessage, ServiceName, SoftwareVersion, VmId } from '@tarragonspool/protocol';

type UntoldMessage = Extract<OriginMessage, { kind: 'stream-origins-untold' }>;

/** What one VM knows of the services for which it is a home. */
export type OriginHomes = {
  /** Compares with the homes of now. */
  readonly update: () => void;
  /** Records that this VM had to forget streams of an origin that may be resumed until a time. */
  readonly addForgotten: (origin: StreamOrigin, until: number) => void;
  /** Records that a VM was lost, which may not have told of all its streams. */
  readonly addLoss: () => void;
  /** Takes what another home was not told of, after all that it knows. */
  readonly merge: (message: UntoldMessage) => void;
  /** Builds that message; undefined if this VM is no home of the service. */
  readonly buildMessage: (service: ServiceName) => UntoldMessage | undefined;
  /** Lists where streams of these services may have begun; undefined if that may be anywhere. */
  readonly listUsed: (services: readonly ServiceName[]) => StreamOrigin[] | undefined;
  /** Lists where those may have begun that this VM was not told of; undefined as above. */
  readonly listUntold: (services: readonly ServiceName[]) => StreamOrigin[] | undefined;
};

/** Dependencies of the above. */
export type OriginHomesParts = {
  readonly self: VmId;
  readonly listServices: () => readonly ServiceName[];
  readonly listHomes: (service: ServiceName) => readonly VmId[];
  /**
   * Lists the versions at which streams of a service began that may be resumed; undefined if that may
   * be any.
   */
  readonly listUsedVersions: (service: ServiceName) => readonly SoftwareVersion[] | undefined;
  /** Lists the versions of streams that began before this VM was a home; undefined as above. */
  readonly listEarlierVersions: OriginHomesParts['listUsedVersions'];
  /** Longest time from the beginning of a stream until it can be resumed no more, in milliseconds. */
  readonly getHorizonMs: () => number;
  readonly getNow: () => number;
};

type Home = {
  /** Streams that began before this VM was a home. */
  earlier: UntoldVersions;
  /** Streams that were forgotten or whose VM was lost. */
  readonly missing: UntoldVersions;
  /** Streams of VMs that still take a version for the only one and therefore tell nothing. */
  readonly unsent: UntoldVersions;
};

/** A VM learns within this time that a service has several versions, and tells of its streams. */
const TELL_WITHIN_MS = 3_000;
/** VMs agree within this time on who is a home. */
const AGREE_WITHIN_MS = 5_000;

/** Lists the origins of several services; undefined if that may be any of one service. */
function listAll(
  services: readonly ServiceName[],
  listVersionsOf: (service: ServiceName) => readonly SoftwareVersion[] | undefined,
): StreamOrigin[] | undefined {
  const origins: StreamOrigin[] = [];
  for (const service of services) {
    const versions = listVersionsOf(service);
    if (versions === undefined) return undefined;
    origins.push(...versions.map((softwareVersion) => ({ service, softwareVersion })));
  }
  return origins;
}

/** Makes the state of a VM that is no home yet. */
export function makeOriginHomes(parts: OriginHomesParts): OriginHomes {
  const { self, listServices, listHomes, getHorizonMs, getNow } = parts;
  const { listUsedVersions, listEarlierVersions } = parts;
  const homes = new Map<ServiceName, Home>();
  /** What was told to this VM before it knew that it is a home. */
  const early = new Map<ServiceName, { readonly untold: UntoldVersions; readonly at: number }>();

  function addHome(service: ServiceName): void {
    const now = getNow();
    const earlier = makeUntoldVersions();
    addUntoldVersions(earlier, listEarlierVersions(service), now + getHorizonMs());
    const told = early.get(service);
    const isTold = told !== undefined && now - told.at < AGREE_WITHIN_MS;
    homes.set(service, {
      earlier: isTold ? mergeUntoldVersions(earlier, told.untold) : earlier,
      missing: makeUntoldVersions(),
      unsent: makeUntoldVersions(),
    });
  }

  function updateHome(service: ServiceName, home: Home): void {
    const used = listUsedVersions(service);
    if (used?.length === 1) addUntoldVersions(home.unsent, used, getNow() + TELL_WITHIN_MS);
    if (home.earlier.anyUntil === -Infinity) return;
    const versions = listEarlierVersions(service);
    if (versions === undefined) return;
    // Versions that come later are not among those of earlier streams.
    addUntoldVersions(home.earlier, versions, home.earlier.anyUntil);
    home.earlier.anyUntil = -Infinity;
  }

  function update(): void {
    for (const service of listServices()) {
      if (!listHomes(service).includes(self)) {
        homes.delete(service);
        continue;
      }
      if (!homes.has(service)) addHome(service);
      const home = homes.get(service);
      if (home !== undefined) updateHome(service, home);
    }
  }

  function findUntold({ earlier, missing, unsent }: Home): UntoldVersions {
    return collectUntoldVersions([earlier, missing, unsent]);
  }

  function listUntoldOf(service: ServiceName): readonly SoftwareVersion[] | undefined {
    const used = listUsedVersions(service);
    const home = homes.get(service);
    if (home === undefined) return used;
    const untold = listUntoldVersions(findUntold(home), getNow());
    if (untold === undefined || used === undefined) return untold ?? used;
    return untold.filter((version) => used.includes(version));
  }

  return {
    update,
    addForgotten: ({ service, softwareVersion }, until) => {
      const home = homes.get(service);
      if (home !== undefined) addUntoldVersions(home.missing, [softwareVersion], until);
    },
    addLoss: () => {
      const now = getNow();
      for (const { unsent, missing } of homes.values()) {
        addUntoldVersions(missing, listUntoldVersions(unsent, now), now + getHorizonMs());
      }
    },
    merge: ({ service, anyEndsInMs, items }) => {
      const now = getNow();
      const untold = makeUntoldVersions();
      if (anyEndsInMs !== undefined) addUntoldVersions(untold, undefined, now + anyEndsInMs);
      for (const { softwareVersion, endsInMs } of items) {
        addUntoldVersions(untold, [softwareVersion], now + endsInMs);
      }
      early.set(service, { untold, at: now });
      const home = homes.get(service);
      if (home !== undefined) home.earlier = mergeUntoldVersions(home.earlier, untold);
    },
    buildMessage: (service) => {
      const home = homes.get(service);
      if (home === undefined) return undefined;
      const now = getNow();
      const { anyUntil, untilByVersion } = findUntold(home);
      const items = [...untilByVersion]
        .filter(([, until]) => until > now)
        .map(([softwareVersion, until]) => ({ softwareVersion, endsInMs: until - now }));
      const any = anyUntil > now ? { anyEndsInMs: anyUntil - now } : {};
      return { kind: 'stream-origins-untold', service, ...any, items };
    },
    listUsed: (services) => listAll(services, listUsedVersions),
    listUntold: (services) => listAll(services, listUntoldOf),
  };
}
