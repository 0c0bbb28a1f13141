import {
  makePermitSchedules,
  type PoolEngine,
  type SlotRequest,
  type SlotRequestId,
} from '@tarragonspool/core';
import {
  decodePeerMessage,
  encodePeerMessage,
  type DataCentre,
  type PoolMessage,
  type ServiceName,
  type SoftwareVersion,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeOwnerSelector } from './owners.js';
import { makePoolClient } from './place-asker.js';
import { makePoolOwner, type OwnerMessage } from './pool-owner.js';

const CLIENT = 'vm-1' as VmId;
const OWNER = 'vm-2' as VmId;
const DATA_CENTRE = 'dc' as DataCentre;
const ENGINE: PoolEngine = {
  upstreamId: 'd' as UpstreamId,
  dataCentre: DATA_CENTRE,
  stage: 'decode',
  incarnation: 1,
  isLeaving: false,
  slots: 1,
  requestsPerSecond: undefined,
  softwareVersion: 'v1' as SoftwareVersion,
  kvCapacityTokens: 100_000,
};
const logger = pino({ level: 'silent' });

function buildRequest(askId: string, tenant: string | undefined, aimAt: number): SlotRequest {
  return {
    askId: askId as SlotRequestId,
    vmId: CLIENT,
    dataCentre: DATA_CENTRE,
    rank: 0,
    tenant,
    contentKey: askId,
    promptTokens: 100,
    outputTokens: 1_000,
    aimAt,
    pauseMs: 300,
    patienceEndsAt: 9_000,
    needsPrefill: false,
    isContinued: false,
    endsBy: Infinity,
    excluded: [],
    softwareVersion: undefined,
  };
}

/** Plays a client and an owner whose link encodes messages; returns what the owner granted. */
function playRequests(removeTenant: (message: PoolMessage) => PoolMessage) {
  const granted: string[] = [];
  const reply = (_: VmId, message: PoolMessage): void => {
    if (message.kind === 'pool-grant') granted.push(message.askId);
  };
  const permits = makePermitSchedules();
  const isOwner = (): boolean => true;
  const takeFraction = (): number => 0.5;
  const owner = makePoolOwner({ self: OWNER, takeFraction, reply, permits, isOwner, logger });
  const ownerSelector = makeOwnerSelector(CLIENT);
  ownerSelector.addLink(OWNER, 0);
  let service = 'service-0' as ServiceName;
  for (let index = 0; ownerSelector.chooseOwner(service, 0) === CLIENT; index += 1) {
    service = `service-${index}` as ServiceName;
  }
  owner.updateEngines(service, [ENGINE], 0);
  let now = 0;
  const send = (_: VmId, message: PoolMessage): void => {
    const received = decodePeerMessage(encodePeerMessage(removeTenant(message)));
    if (received === undefined) throw new Error(`${message.kind} cannot be decoded`);
    owner.handleMessage(CLIENT, received as OwnerMessage, now);
  };
  const client = makePoolClient({ self: CLIENT, linkedBy: 0, ownerSelector, send, logger });
  const request = (ask: SlotRequest): void => {
    const onReply = (): void => undefined;
    client.handleRequest({ kind: 'ask', service, ask, hasRun: false, onReply }, now);
  };
  request(buildRequest('first', 'a', 900));
  now = 400;
  request(buildRequest('second', 'a', 1_400));
  request(buildRequest('third', 'b', 1_500));
  now = 500;
  const askId = 'first' as SlotRequestId;
  owner.handleMessage(CLIENT, { kind: 'pool-end', service, askId, didFinish: true }, now);
  return granted;
}

// Guards against a field that is lost on the way from the caller's VM to the owner.
it('slot tenants: an owner learns the tenant of a slot request and gives the next slot to the one that has used less', () => {
  expect(playRequests((message) => message)).to.deep.equal(['first', 'third']);
});

it('slot tenants: requests of an earlier build, which name no tenant, are served by their targets', () => {
  const remove = (message: PoolMessage): PoolMessage =>
    message.kind === 'pool-ask' ? { ...message, tenant: undefined } : message;
  expect(playRequests(remove)).to.deep.equal(['first', 'second']);
});
