/** Asks before each send of a caller's request whether the server may get it now. */

import { askSend, type SendClearance } from '@tarragonspool/core';
import type { SoftwareVersion, UpstreamId } from '@tarragonspool/protocol';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { findQuarantineReason } from './quarantine/quarantine-check.js';

/** What is to be sent where. */
export type RequestSend = {
  readonly upstreamId: UpstreamId;
  /** Whether the VM that keeps the server's limit has permitted this send. */
  readonly hasPermit: boolean;
  /** Version at which the stream began; undefined if any will do. */
  readonly softwareVersion?: SoftwareVersion | undefined;
};

/** Asks whether a server may get a request now; a refusal is logged and counted. */
export function askRequestSend(
  state: GatewayState,
  request: GatewayRequest,
  { upstreamId, hasPermit, softwareVersion }: RequestSend,
): SendClearance {
  const isQuarantined = findQuarantineReason(state, request) !== undefined;
  const question = { kind: 'request', hasPermit, softwareVersion, isQuarantined } as const;
  const clearance = askSend(state.upstreams, upstreamId, question, getSteadyMs());
  if (clearance.kind === 'cleared') return clearance;
  const { refusal } = clearance;
  const { requestId } = request.fields;
  state.logger.info({ requestId, upstreamId, ...refusal }, 'sends: server may not get the request');
  state.metrics.sendsRefused.inc({ reason: refusal.reason });
  return clearance;
}
