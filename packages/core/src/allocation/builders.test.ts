/** Builders of options, engines and requests for the tests of the allocator. */

import type {
  AttemptId,
  CallerId,
  DataCentre,
  EngineRole,
  Fingerprint,
  Incarnation,
  ModelName,
  PrefixHash,
  RequestId,
  ReservationRequest,
  ServiceName,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import type { AllocatorOptions, ListedEngine } from './allocator-events.js';

/** Time at which the tests start, in milliseconds. */
export const START = 1_000_000;

/** Makes allocator options with a fixed seed. */
export function makeOptions(options: Partial<AllocatorOptions> = {}): AllocatorOptions {
  return { vmId: 'vm-1' as VmId, policy: 'ours', objective: 'tail', seed: 1, ...options };
}

/** Makes prefill engines `p0`, `p1` and so on, and decode engines `d0`, `d1` and so on. */
export function makeEngines(prefillCount: number, decodeCount: number): ListedEngine[] {
  const make = (role: EngineRole, index: number): ListedEngine => ({
    upstreamId: `${role.charAt(0)}${index}` as UpstreamId,
    role,
    models: ['m' as ModelName],
    isLeaving: false,
  });
  const engines: ListedEngine[] = [];
  for (let index = 0; index < prefillCount; index += 1) engines.push(make('prefill', index));
  for (let index = 0; index < decodeCount; index += 1) engines.push(make('decode', index));
  return engines;
}

/** Makes a reservation request that arrives at `now`. */
export function makeReservationRequest(
  name: string,
  now: number,
  parts: Partial<ReservationRequest> = {},
): ReservationRequest {
  return {
    requestId: name as RequestId,
    attemptId: `${name}.1` as AttemptId,
    vmId: 'vm-1' as VmId,
    incarnation: 1 as Incarnation,
    callerId: 'caller-1' as CallerId,
    service: 's' as ServiceName,
    target: { model: 'm' as ModelName },
    dataCentre: 'dc' as DataCentre,
    promptTokens: 4_000,
    maxTokens: 40,
    prefixes: [] as PrefixHash[],
    priority: 5,
    firstTokenDeadline: now + 1_100,
    answerDeadline: now + 8_000,
    fingerprint: name as Fingerprint,
    excluded: [],
    ...parts,
  };
}
