/** Whether a service certainly had one software version for as long as any stream lasts. */

import { findOnlyVersion, forgetObservation } from '@tarragonspool/core';
import type { ServiceName, SoftwareVersion } from '@tarragonspool/protocol';
import { getSteadyMs, measureClockOffsetMs } from '../time/steady-clock.js';
import type { GatewayState } from './gateway-state.js';

/** No stream is resumed later than this after its beginning, or than two timeouts of its route. */
const MIN_HORIZON_MS = 30_000;
const HORIZON_TIMEOUTS = 2;
/** What this VM knows of the store is judged at intervals; an older judgement does not count. */
const MAX_JUDGEMENT_AGE_MS = 1_000;

function computeHorizonMs({ configuration }: GatewayState): number {
  const routes = configuration?.routes ?? [];
  const streams = routes.filter(({ kind }) => kind === 'stream');
  const timeouts = streams.map(({ timeoutMs }) => HORIZON_TIMEOUTS * timeoutMs);
  return Math.max(MIN_HORIZON_MS, ...timeouts);
}

/** A change of the clocks' difference by more than this shows a suspended machine, or a set clock. */
const MAX_OFFSET_CHANGE_MS = 300;

/** Makes the check whether this machine may have been suspended, in which the steady clock stands. */
export function makeSuspensionCheck(measureOffsetMs = measureClockOffsetMs): () => boolean {
  let offsetMs = measureOffsetMs();
  return () => {
    const before = offsetMs;
    offsetMs = measureOffsetMs();
    return Math.abs(offsetMs - before) > MAX_OFFSET_CHANGE_MS;
  };
}

/**
 * Finds the only software version that servers of a service had; undefined if there were several, or
 * if this VM may not have seen all.
 */
export function findOnlyServiceVersion(
  state: GatewayState,
  service: ServiceName,
): SoftwareVersion | undefined {
  const now = getSteadyMs();
  const { versions, storeKnown } = state;
  if (state.hasBeenSuspended()) forgetObservation(versions, now);
  if (!storeKnown.isRecent || now - storeKnown.judgedAt > MAX_JUDGEMENT_AGE_MS) return undefined;
  return findOnlyVersion(versions, service, computeHorizonMs(state), now);
}
