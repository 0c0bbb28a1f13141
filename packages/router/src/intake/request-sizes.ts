/** How large requests and answers may be, and how many bytes of them this VM holds. */

import { computeHeldLimits, type HeldLimits, type RoutingConfiguration } from '@tarragonspool/core';

/** Largest answer of a plain service, which is held until it is whole. */
export const MAX_ANSWER_BYTES = 4_194_304;
/** Holds until the first configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Finds the largest body that the operator allows. */
export function findMaxBodyBytes(configuration: RoutingConfiguration | undefined): number {
  return configuration?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
}

/** Finds the limits of what is held on a machine with so much memory. */
export function findHeldLimits(
  memoryMb: number,
  configuration: RoutingConfiguration | undefined,
): HeldLimits {
  const maxBodyBytes = findMaxBodyBytes(configuration);
  return computeHeldLimits(memoryMb, { maxBodyBytes, maxAnswerBytes: MAX_ANSWER_BYTES });
}
