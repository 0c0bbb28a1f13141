/** Keeps the permits of servers that limit their requests, for the rankings that this VM leads. */

import {
  findFirstPermitted,
  findPermitTime,
  takePermit,
  type PermitSchedules,
} from '@tarragonspool/core';
import type { PermitMessage, VmId } from '@tarragonspool/protocol';
import type { OwnerSelector } from './owners.js';

type PermitRequestMessage = Extract<PermitMessage, { kind: 'permit-request' }>;

/** Dependencies of the keeper. */
export type PermitKeeperParts = {
  readonly self: VmId;
  readonly ownerSelector: OwnerSelector;
  readonly schedules: PermitSchedules;
  readonly send: (to: VmId, message: PermitMessage) => void;
};

/** A VM that is asked and does not keep the permits is not asked again before this time. */
const OTHER_KEEPER_RETRY_MS = 300;

/** Makes the function that answers a request for a permit. */
export function makePermitKeeper(
  parts: PermitKeeperParts,
): (from: VmId, message: PermitRequestMessage, now: number) => void {
  const { self, ownerSelector, schedules, send } = parts;
  return (from, { ranking, requestId, servers, latestInMs }, now) => {
    const refuse = (inMs: number): void => send(from, { kind: 'permit-answer', requestId, inMs });
    // The other VM may see another keeper; two of them would give out twice the limit.
    if (ownerSelector.chooseOwner(ranking, now) !== self) {
      refuse(OTHER_KEEPER_RETRY_MS);
      return;
    }
    const server = findFirstPermitted(schedules, servers, now);
    if (server === undefined) {
      refuse(0);
      return;
    }
    const sendAt = takePermit(schedules, server, now + latestInMs, now);
    if (sendAt === undefined) {
      refuse(findPermitTime(schedules, server, now) - now);
      return;
    }
    const { upstreamId } = server;
    send(from, { kind: 'permit-answer', requestId, upstreamId, inMs: sendAt - now });
  };
}
