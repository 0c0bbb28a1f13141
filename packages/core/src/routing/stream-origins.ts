/**
 * Which service and software version began each stream. A stream may go on only there, also at
 * another VM and in another attempt of its caller. Times are milliseconds on the steady clock.
 */

import type { ContentKey, ServiceName, SoftwareVersion, StreamId } from '@tarragonspool/protocol';

/** Where a stream began. */
export type StreamOrigin = {
  readonly service: ServiceName;
  readonly softwareVersion: SoftwareVersion;
};

/** Names a stream: by its id, or by its content where the caller does not say the id. */
export type StreamKey = {
  readonly streamId: StreamId | undefined;
  readonly contentKey: ContentKey;
};

/** The origin of one stream; its caller resumes it no later than `expiresAt`. */
export type OriginRecord = {
  readonly streamId: StreamId;
  readonly contentKey: ContentKey;
  readonly origin: StreamOrigin;
  readonly expiresAt: number;
};

/** An origin of streams with one content, the last of which is resumed no later than `expiresAt`. */
type ContentOrigin = { readonly origin: StreamOrigin; readonly expiresAt: number };

/** Origins of streams; the ones that were recorded last are at the end. */
export type StreamOrigins = {
  readonly byId: Map<StreamId, OriginRecord>;
  readonly byContent: Map<ContentKey, readonly ContentOrigin[]>;
};

/** Streams that are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED = 20_000;

/** Makes the origins of a VM that knows no streams. */
export function makeStreamOrigins(): StreamOrigins {
  return { byId: new Map(), byContent: new Map() };
}

/** Sets the newest entry of a map; returns the oldest one if there is no room for it. */
function setLast<K, V>(map: Map<K, V>, key: K, value: V): V | undefined {
  map.delete(key);
  map.set(key, value);
  if (map.size <= MAX_REMEMBERED) return undefined;
  const [oldest] = map;
  if (oldest === undefined) return undefined;
  map.delete(oldest[0]);
  return oldest[1];
}

/** Whether two streams began at the same service and version. */
export function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.softwareVersion === other.softwareVersion;
}

function addContentOrigin(
  known: readonly ContentOrigin[],
  { origin, expiresAt }: ContentOrigin,
): ContentOrigin[] {
  const same = known.find((other) => isSameOrigin(other.origin, origin));
  const latest = Math.max(expiresAt, same?.expiresAt ?? -Infinity);
  return [...known.filter((other) => other !== same), { origin, expiresAt: latest }];
}

/**
 * Records where a stream began; the first record of a stream holds, later ones only extend it. Returns
 * what had to be forgotten instead.
 */
export function recordOrigin(
  { byId, byContent }: StreamOrigins,
  record: OriginRecord,
): readonly ContentOrigin[] {
  const { streamId, contentKey, expiresAt } = record;
  const known = byId.get(streamId);
  const origin = known?.origin ?? record.origin;
  const isLonger = known === undefined || known.expiresAt < expiresAt;
  setLast(byId, streamId, { ...(known ?? record), ...(isLonger ? { expiresAt } : {}) });
  const content = addContentOrigin(byContent.get(contentKey) ?? [], { origin, expiresAt });
  return setLast(byContent, contentKey, content) ?? [];
}

/**
 * Lists where the streams of a key began that are known: one stream if the key names it, all with the
 * content otherwise.
 */
export function listOrigins(
  { byId, byContent }: StreamOrigins,
  { streamId, contentKey }: StreamKey,
  now: number,
): readonly StreamOrigin[] {
  if (streamId === undefined) {
    const content = byContent.get(contentKey) ?? [];
    return content.filter(({ expiresAt }) => expiresAt > now).map(({ origin }) => origin);
  }
  const known = byId.get(streamId);
  return known === undefined || known.expiresAt <= now ? [] : [known.origin];
}

/** Forgets the streams that nobody resumes any more. */
export function dropExpiredOrigins({ byId, byContent }: StreamOrigins, now: number): void {
  for (const [streamId, { expiresAt }] of byId) if (expiresAt <= now) byId.delete(streamId);
  for (const [key, content] of byContent) {
    const kept = content.filter(({ expiresAt }) => expiresAt > now);
    if (kept.length === 0) byContent.delete(key);
    else if (kept.length < content.length) byContent.set(key, kept);
  }
}
