/** Finds where a stream began that a caller goes on with. */

import type { StreamKey, StreamOrigin } from '@tarragonspool/core';
import type { ServiceName } from '@tarragonspool/protocol';
import { offer, receive, type Task } from '../tasks/tasks.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { RequestEnd } from './sender.js';

/** Where the stream of a request began. */
export type OriginResult =
  /** The request begins a stream. */
  | { readonly kind: 'new' }
  | { readonly kind: 'known'; readonly origin: StreamOrigin }
  /** No VM that could be asked knows. */
  | { readonly kind: 'unknown' }
  | RequestEnd;

function listEngineServices(state: GatewayState, { route }: GatewayRequest): ServiceName[] {
  const services = route.targets.map(({ service }) => service);
  const { configuration } = state;
  return services.filter((name) => configuration?.services.get(name)?.engine !== undefined);
}

function* awaitOrigin(
  { streamOrigins }: GatewayState,
  { inbox }: GatewayRequest,
  key: StreamKey,
  services: readonly ServiceName[],
): Task<OriginResult> {
  streamOrigins.ask(key, services, (origin) => {
    offer(inbox, { kind: 'origin', origin });
  });
  for (;;) {
    const message = yield* receive(inbox);
    if (message === undefined) return { kind: 'caller-gone' };
    if (message.kind === 'caller-gone' || message.kind === 'timed-out') return message;
    if (message.kind !== 'origin') continue;
    const { origin } = message;
    return origin === undefined ? { kind: 'unknown' } : { kind: 'known', origin };
  }
}

/** Finds where the stream of a request began; asks other VMs if this one does not know. */
export function* findStreamOrigin(
  state: GatewayState,
  request: GatewayRequest,
): Task<OriginResult> {
  const { lastEventId, resumedStream, requestId } = request.fields;
  if (lastEventId === undefined && resumedStream === undefined) return { kind: 'new' };
  const services = listEngineServices(state, request);
  const key = { streamId: resumedStream, contentKey: request.contentKey };
  const local = state.streamOrigins.find(key);
  const result: OriginResult =
    local === undefined
      ? yield* awaitOrigin(state, request, key, services)
      : { kind: 'known', origin: local };
  state.logger.info(
    { requestId, resumedStream, lastEventId, isLocal: local !== undefined, result },
    'origins: caller goes on with a stream',
  );
  state.metrics.resumes.inc({ origin: result.kind });
  return result;
}
