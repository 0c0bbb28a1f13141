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

/** The origin of a content; undefined if streams with it began at several versions. */
type ContentOrigin = {
  readonly origin: StreamOrigin | undefined;
  readonly expiresAt: number;
};

/** Origins of streams; the ones that were recorded last are at the end. */
export type StreamOrigins = {
  readonly byId: Map<StreamId, OriginRecord>;
  readonly byContent: Map<ContentKey, ContentOrigin>;
};

/** Streams that are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED = 20_000;

/** Makes the origins of a VM that knows no streams. */
export function makeStreamOrigins(): StreamOrigins {
  return { byId: new Map(), byContent: new Map() };
}

function setLast<K, V>(map: Map<K, V>, key: K, value: V): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= MAX_REMEMBERED) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}

function isSameOrigin(one: StreamOrigin | undefined, other: StreamOrigin): boolean {
  return one?.service === other.service && one.softwareVersion === other.softwareVersion;
}

/** Records where a stream began; the first record of a stream holds, later ones only extend it. */
export function recordOrigin({ byId, byContent }: StreamOrigins, record: OriginRecord): void {
  const { streamId, contentKey, origin, expiresAt } = record;
  const known = byId.get(streamId);
  const isLonger = known === undefined || known.expiresAt < expiresAt;
  setLast(byId, streamId, { ...(known ?? record), ...(isLonger ? { expiresAt } : {}) });
  const content = byContent.get(contentKey);
  const isSame = content === undefined || isSameOrigin(content.origin, origin);
  setLast(byContent, contentKey, {
    origin: isSame ? origin : undefined,
    expiresAt: Math.max(expiresAt, content?.expiresAt ?? 0),
  });
}

/** Finds where a stream began; undefined if it is not known. */
export function findOrigin(
  { byId, byContent }: StreamOrigins,
  { streamId, contentKey }: StreamKey,
  now: number,
): StreamOrigin | undefined {
  const known = streamId === undefined ? byContent.get(contentKey) : byId.get(streamId);
  return known === undefined || known.expiresAt <= now ? undefined : known.origin;
}

/** Forgets the streams that nobody resumes any more. */
export function dropExpiredOrigins({ byId, byContent }: StreamOrigins, now: number): void {
  for (const [streamId, { expiresAt }] of byId) if (expiresAt <= now) byId.delete(streamId);
  for (const [key, { expiresAt }] of byContent) if (expiresAt <= now) byContent.delete(key);
}
