/** Which software versions a service had for as long as any stream lasts. */

import { forgetObservation, listVersions, recordVersions } from '@tarragonspool/core';
import type { ServiceName, SoftwareVersion } from '@tarragonspool/protocol';
import { getSteadyMs, measureClockOffsetMs } from '../time/steady-clock.js';
import type { GatewayState } from './gateway-state.js';

/** No stream is resumed later than this after its beginning, or than two timeouts of its route. */
const MIN_HORIZON_MS = 30_000;
const HORIZON_TIMEOUTS = 2;
/** What this VM knows of the store is judged at intervals; an older judgement does not count. */
const MAX_JUDGEMENT_AGE_MS = 1_000;

/** Computes the longest time from a stream's beginning to its last resumption, in milliseconds. */
export function computeHorizonMs(state: GatewayState | undefined): number {
  const routes = state?.configuration?.routes ?? [];
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

/** Records which versions are listed now; called at intervals that are short against the horizon. */
export function recordListedVersions({ versions, upstreams, hasUpstreams }: GatewayState): void {
  if (hasUpstreams) recordVersions(versions, upstreams.records.values(), getSteadyMs());
}

/**
 * Lists the software versions at which streams of a service began that may still be resumed; undefined
 * if this VM may not have seen all.
 */
export function listUsedVersions(
  state: GatewayState,
  service: ServiceName,
): readonly SoftwareVersion[] | undefined {
  const now = getSteadyMs();
  const { versions, storeKnown } = state;
  if (state.hasBeenSuspended()) forgetObservation(versions, now);
  if (!storeKnown.isRecent || now - storeKnown.judgedAt > MAX_JUDGEMENT_AGE_MS) return undefined;
  const listed = listVersions(versions, service, computeHorizonMs(state), now) ?? [];
  return listed.length === 0 ? undefined : listed;
}
