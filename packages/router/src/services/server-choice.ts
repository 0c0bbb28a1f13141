/** Chooses a server of a plain service; avoids those that recently refused a connection. */

import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { Directory, ServerEntry } from '../upstreams/directory.js';

/** Round-robin position, and until when to avoid which servers (milliseconds since the epoch). */
export type ServerChoice = { readonly avoidUntil: Map<UpstreamId, number>; next: number };

const AVOID_DURATION_MS = 2_000;

/** Makes a choice that avoids no server. */
export function makeServerChoice(): ServerChoice {
  return { avoidUntil: new Map(), next: 0 };
}

/** Avoids a server for `AVOID_DURATION_MS` and removes expired entries. */
export function addAvoidedServer(choice: ServerChoice, upstreamId: UpstreamId, now: number): void {
  for (const [avoidedId, until] of choice.avoidUntil) {
    if (until <= now) choice.avoidUntil.delete(avoidedId);
  }
  choice.avoidUntil.set(upstreamId, now + AVOID_DURATION_MS);
}

/** Returns the next server round-robin; an avoided one only if no other is left. */
export function chooseServer(
  choice: ServerChoice,
  directory: Pick<Directory, 'servers'>,
  service: ServiceName,
  excluded: readonly UpstreamId[],
  now: number,
): ServerEntry | undefined {
  const preferred: ServerEntry[] = [];
  const avoided: ServerEntry[] = [];
  for (const server of directory.servers.values()) {
    if (server.service !== service || server.isLeaving) continue;
    if (excluded.includes(server.upstreamId)) continue;
    const isAvoided = (choice.avoidUntil.get(server.upstreamId) ?? 0) > now;
    (isAvoided ? avoided : preferred).push(server);
  }
  const usable = preferred.length > 0 ? preferred : avoided;
  if (usable.length === 0) return undefined;
  choice.next += 1;
  return usable[choice.next % usable.length];
}
