/** Chooses a server of a plain service; servers that just refused a connection are avoided. */

import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { Directory, ServerEntry } from '../upstreams/directory.js';

/** Servers to avoid, with the time until which, in milliseconds since the epoch. */
export type ServerChoice = { readonly avoidUntil: Map<UpstreamId, number>; next: number };

const AVOID_MS = 2_000;

/** Makes a choice that avoids nothing. */
export function makeServerChoice(): ServerChoice {
  return { avoidUntil: new Map(), next: 0 };
}

/** Avoids a server for a short time. */
export function addAvoided(choice: ServerChoice, upstreamId: UpstreamId, now: number): void {
  for (const [known, until] of choice.avoidUntil) {
    if (until <= now) choice.avoidUntil.delete(known);
  }
  choice.avoidUntil.set(upstreamId, now + AVOID_MS);
}

/** Takes servers in turn; an avoided one only where no other is left. */
export function chooseServer(
  choice: ServerChoice,
  directory: Pick<Directory, 'servers'>,
  service: ServiceName,
  excluded: readonly UpstreamId[],
  now: number,
): ServerEntry | undefined {
  const good: ServerEntry[] = [];
  const avoided: ServerEntry[] = [];
  for (const server of directory.servers.values()) {
    if (server.service !== service || server.isLeaving) continue;
    if (excluded.includes(server.upstreamId)) continue;
    const isAvoided = (choice.avoidUntil.get(server.upstreamId) ?? 0) > now;
    (isAvoided ? avoided : good).push(server);
  }
  const usable = good.length > 0 ? good : avoided;
  if (usable.length === 0) return undefined;
  choice.next += 1;
  return usable[choice.next % usable.length];
}
