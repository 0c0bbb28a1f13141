/**
 * The question before each send: may this go to that server now, and if not, why and until when. Only
 * the answer holds an address that sends take. Times are milliseconds on the steady clock of this VM.
 */

import type { ServiceName, SoftwareVersion, UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from './routing-types.js';
import { findLimit, findPauseEnd, findPermitWaitEnd } from './upstream-beliefs.js';
import type { UpstreamList } from './upstream-list.js';

declare const CLEARED: unique symbol;

/** IP:PORT of a server of which the question was asked. */
export type ClearedAddress = string & { readonly [CLEARED]: true };

/** A server that may get the send that was asked for, now. */
export type ClearedUpstream = UpstreamRecord & { readonly address: ClearedAddress };

/** What is to be sent. */
export type SendQuestion =
  /** Part of a caller's request: a call, a prefill or a decode, at first or again. */
  | {
      readonly kind: 'request';
      /** Whether the VM that keeps the server's limit has permitted this send. */
      readonly hasPermit: boolean;
      /** Version at which the stream began; undefined if any will do. */
      readonly softwareVersion: SoftwareVersion | undefined;
      /** Whether the request's content crashes servers. */
      readonly isQuarantined: boolean;
    }
  /** An order to a known incarnation; orders are few and need no permit. */
  | { readonly kind: 'order'; readonly incarnation: number }
  /** A send of a peer, which has asked for everything that this VM does not know. */
  | { readonly kind: 'relayed'; readonly incarnation: number; readonly isReport: boolean }
  /** A reading of the server's report, which it gives while it pauses or leaves too. */
  | { readonly kind: 'report' };

/** Why a server may get no request, whatever it is. */
export type ServerRefusal =
  | { readonly reason: 'leaving' }
  | { readonly reason: 'paused' | 'no-permit'; readonly until: number };

/** Why something may not be sent to a server. */
export type SendRefusal =
  ServerRefusal | { readonly reason: 'quarantined' | 'not-listed' | 'other-version' };

/** The answer to the question. */
export type SendClearance =
  | { readonly kind: 'cleared'; readonly server: ClearedUpstream }
  | { readonly kind: 'refused'; readonly refusal: SendRefusal };

/** A listed server that may get no requests of this VM, and why. */
export type RefusedUpstream = ServerRefusal & { readonly upstreamId: UpstreamId };

/** What keeps every request from a listed server, whatever its content. */
function findServerRefusal(
  { beliefs }: UpstreamList,
  record: UpstreamRecord,
  now: number,
): ServerRefusal | undefined {
  if (record.isLeaving) return { reason: 'leaving' };
  const until = findPauseEnd(beliefs, record, now);
  return until === undefined ? undefined : { reason: 'paused', until };
}

/** Finds from when on there may be a permit for a server; undefined if it has no limit. */
function findPermitTime(
  { beliefs }: UpstreamList,
  record: UpstreamRecord,
  now: number,
): number | undefined {
  if (findLimit(beliefs, record) === undefined) return undefined;
  return findPermitWaitEnd(beliefs, record, now) ?? now;
}

function findRefusal(
  list: UpstreamList,
  record: UpstreamRecord,
  question: SendQuestion,
  now: number,
): SendRefusal | undefined {
  switch (question.kind) {
    case 'request': {
      if (question.isQuarantined) return { reason: 'quarantined' };
      const refusal = findServerRefusal(list, record, now);
      if (refusal !== undefined) return refusal;
      const { softwareVersion = record.softwareVersion, hasPermit } = question;
      if (softwareVersion !== record.softwareVersion) return { reason: 'other-version' };
      const until = hasPermit ? undefined : findPermitTime(list, record, now);
      return until === undefined ? undefined : { reason: 'no-permit', until };
    }
    case 'order':
    case 'relayed': {
      if (record.incarnation !== question.incarnation) return { reason: 'not-listed' };
      const isReport = question.kind === 'relayed' && question.isReport;
      return isReport ? undefined : findServerRefusal(list, record, now);
    }
    case 'report':
      return undefined;
    default:
      return question satisfies never;
  }
}

/** Asks whether something may be sent to a server now; asked again right before each send. */
export function askSend(
  list: UpstreamList,
  upstreamId: UpstreamId,
  question: SendQuestion,
  now: number,
): SendClearance {
  const record = list.records.get(upstreamId);
  if (record === undefined) return { kind: 'refused', refusal: { reason: 'not-listed' } };
  const refusal = findRefusal(list, record, question, now);
  if (refusal !== undefined) return { kind: 'refused', refusal };
  return { kind: 'cleared', server: record as ClearedUpstream };
}

function listService(list: UpstreamList, service: ServiceName): UpstreamRecord[] {
  return [...list.records.values()].filter((record) => record.service === service);
}

/** Lists the servers of a service that may get requests, those with a limit by a permit. */
export function listUsableUpstreams(
  list: UpstreamList,
  service: ServiceName,
  now: number,
): UpstreamRecord[] {
  return listService(list, service).filter(
    (record) => findServerRefusal(list, record, now) === undefined,
  );
}

/** Lists the servers of a service that may get no requests now, and why. */
export function listRefusedUpstreams(
  list: UpstreamList,
  service: ServiceName,
  now: number,
): RefusedUpstream[] {
  const refused: RefusedUpstream[] = [];
  for (const record of listService(list, service)) {
    const { upstreamId } = record;
    const refusal = findServerRefusal(list, record, now);
    const permitAt = findPermitTime(list, record, now) ?? now;
    if (refusal !== undefined) refused.push({ upstreamId, ...refusal });
    else if (permitAt > now) refused.push({ upstreamId, reason: 'no-permit', until: permitAt });
  }
  return refused;
}
