/**
 * Knows which software version began each stream: of this VM's own streams, and of those that other
 * VMs tell it of. The first VMs of a service's ranking, its homes, are told of the streams of all VMs,
 * unless every VM can see for itself that the service had one version only.
 */

import {
  dropExpiredOrigins,
  findOrigin,
  makeStreamOrigins,
  recordOrigin,
  type OriginRecord,
  type StreamKey,
  type StreamOrigin,
} from '@tarragonspool/core';
import type {
  OriginMessage,
  ServiceName,
  SoftwareVersion,
  StreamId,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';

/** Knowledge of one VM of where streams began. */
export type StreamOriginBook = {
  /** Records a stream of this VM that has its first event, and tells the homes. */
  readonly recordOwn: (record: OriginRecord) => void;
  readonly find: (key: StreamKey) => StreamOrigin | undefined;
  /**
   * Finds the version that began every stream of a service that may still be resumed; undefined if there
   * may have been several.
   */
  readonly findOnlyVersion: (service: ServiceName) => SoftwareVersion | undefined;
  /** Asks the homes of these services; answers undefined if none knows in time. */
  readonly ask: (
    key: StreamKey,
    services: readonly ServiceName[],
    onAnswer: (origin: StreamOrigin | undefined) => void,
  ) => void;
  readonly handleMessage: (from: VmId, message: OriginMessage) => void;
  /** Tells a VM that has just been linked, if it is a home, of all streams known here. */
  readonly handleLinkOpened: (vmId: VmId) => void;
  readonly tick: () => void;
};

/** Dependencies of the book. */
export type StreamOriginParts = {
  /** Lists the VMs that are told of the streams of a service; this VM may be one of them. */
  readonly listHomes: (service: ServiceName) => readonly VmId[];
  /** Returns false if the VM is not linked. */
  readonly sendTo: (vmId: VmId, message: OriginMessage) => boolean;
  readonly findOnlyVersion: StreamOriginBook['findOnlyVersion'];
  readonly self: VmId;
  readonly logger: Logger;
  readonly getNow?: () => number;
  /** Runs a function after a delay in milliseconds; returns how to cancel it. */
  readonly schedule?: (run: () => void, delayMs: number) => () => void;
};

/** Origins are told in groups, after this time. */
const SEND_DELAY_MS = 10;
/** A live home answers within this time. */
const ANSWER_TIMEOUT_MS = 200;
/** Homes that are linked after the question are asked at this interval. */
const ASK_INTERVAL_MS = 50;
/** A VM that starts is linked to the homes within this time. */
const LINK_TIME_MS = 1_500;
const MAX_ITEMS_PER_MESSAGE = 500;

type OriginItem = Extract<OriginMessage, { kind: 'stream-origins' }>['items'][number];

type Question = {
  readonly key: StreamKey;
  readonly services: readonly ServiceName[];
  readonly onAnswer: (origin: StreamOrigin | undefined) => void;
  readonly asked: Set<VmId>;
  readonly answered: Set<VmId>;
  readonly endsAt: number;
  cancelTimer: () => void;
};

function scheduleTimer(run: () => void, delayMs: number): () => void {
  const timer = setTimeout(run, delayMs);
  return () => clearTimeout(timer);
}

/** Makes the book of this VM. */
export function makeStreamOriginBook(parts: StreamOriginParts): StreamOriginBook {
  const { listHomes, sendTo, findOnlyVersion, self, logger } = parts;
  const getNow = parts.getNow ?? getSteadyMs;
  const schedule = parts.schedule ?? scheduleTimer;
  const origins = makeStreamOrigins();
  /** Streams that this VM serves or has served. */
  const own = new Set<StreamId>();
  const toldServices = new Set<ServiceName>();
  const unsent: OriginRecord[] = [];
  const questions = new Map<string, Question>();
  const linkedBy = getNow() + LINK_TIME_MS;
  let questionCount = 0;
  let isSending = false;

  function encodeItem({ streamId, contentKey, origin, expiresAt }: OriginRecord): OriginItem {
    return { streamId, contentKey, ...origin, endsInMs: expiresAt - getNow() };
  }

  function sendRecords(to: VmId, records: readonly OriginRecord[]): void {
    for (let start = 0; start < records.length; start += MAX_ITEMS_PER_MESSAGE) {
      const items = records.slice(start, start + MAX_ITEMS_PER_MESSAGE).map(encodeItem);
      sendTo(to, { kind: 'stream-origins', items });
    }
  }

  function sendToHomes(records: readonly OriginRecord[]): void {
    const byHome = new Map<VmId, OriginRecord[]>();
    for (const record of records) {
      for (const home of listHomes(record.origin.service)) {
        if (home === self) continue;
        byHome.set(home, [...(byHome.get(home) ?? []), record]);
      }
    }
    for (const [home, items] of byHome) sendRecords(home, items);
  }

  function flush(): void {
    isSending = false;
    sendToHomes(unsent.splice(0));
  }

  function listOwn(service: ServiceName): OriginRecord[] {
    const records = [...own].map((streamId) => origins.byId.get(streamId));
    return records.filter((record) => record?.origin.service === service) as OriginRecord[];
  }

  /** Whether the homes of a service are told of its streams; they are told of all at the beginning. */
  function updateTold(service: ServiceName): boolean {
    if (findOnlyVersion(service) !== undefined) {
      toldServices.delete(service);
      return false;
    }
    if (toldServices.has(service)) return true;
    toldServices.add(service);
    const records = listOwn(service);
    sendToHomes(records);
    logger.info({ service, streams: records.length }, 'origins: homes are told of streams');
    return true;
  }

  function finishQuestion(number: string, origin: StreamOrigin | undefined): void {
    const question = questions.get(number);
    if (question === undefined) return;
    questions.delete(number);
    question.cancelTimer();
    question.onAnswer(origin);
  }

  /** Whether every home has answered that it does not know. */
  function isSettled({ services, asked, answered }: Question): boolean {
    const homes = new Set(services.flatMap((service) => listHomes(service)));
    homes.delete(self);
    return asked.size > 0 && [...homes].every((home) => answered.has(home));
  }

  function askHomes(number: string): void {
    const question = questions.get(number);
    if (question === undefined) return;
    const { key, services, asked, endsAt } = question;
    if (getNow() >= endsAt || isSettled(question)) {
      finishQuestion(number, undefined);
      return;
    }
    for (const home of new Set(services.flatMap((service) => listHomes(service)))) {
      if (home === self || asked.has(home)) continue;
      const isSent = sendTo(home, { kind: 'stream-origin-request', number, ...key, services });
      if (isSent) asked.add(home);
    }
    question.cancelTimer = schedule(() => askHomes(number), ASK_INTERVAL_MS);
  }

  function findForPeer(key: StreamKey, services: readonly ServiceName[]): StreamOrigin | undefined {
    const known = findOrigin(origins, key, getNow());
    if (known !== undefined) return known;
    const [service, ...others] = services;
    if (service === undefined || others.length > 0) return undefined;
    const softwareVersion = findOnlyVersion(service);
    return softwareVersion && { service, softwareVersion };
  }

  return {
    recordOwn: (record) => {
      const { streamId, origin } = record;
      own.add(streamId);
      const isTold = updateTold(origin.service);
      recordOrigin(origins, record);
      if (!isTold) return;
      unsent.push(record);
      if (isSending) return;
      isSending = true;
      schedule(flush, SEND_DELAY_MS);
    },
    find: (key) => findOrigin(origins, key, getNow()),
    findOnlyVersion,
    ask: (key, services, onAnswer) => {
      questionCount += 1;
      const number = `${questionCount}`;
      const endsAt = Math.max(getNow() + ANSWER_TIMEOUT_MS, linkedBy);
      const progress = { asked: new Set<VmId>(), answered: new Set<VmId>() };
      const question = { key, services, onAnswer, endsAt, ...progress };
      questions.set(number, { ...question, cancelTimer: () => undefined });
      askHomes(number);
    },
    handleMessage: (from, message) => {
      switch (message.kind) {
        case 'stream-origins': {
          const now = getNow();
          for (const { streamId, contentKey, endsInMs, ...origin } of message.items) {
            recordOrigin(origins, { streamId, contentKey, origin, expiresAt: now + endsInMs });
          }
          return;
        }
        case 'stream-origin-request': {
          const { number, streamId, contentKey, services } = message;
          const origin = findForPeer({ streamId, contentKey }, services);
          sendTo(from, { kind: 'stream-origin-answer', number, origin });
          return;
        }
        case 'stream-origin-answer': {
          const { number, origin } = message;
          const question = questions.get(number);
          if (question === undefined) return;
          question.answered.add(from);
          if (origin !== undefined || isSettled(question)) finishQuestion(number, origin);
          return;
        }
        default:
          message satisfies never;
      }
    },
    handleLinkOpened: (vmId) => {
      const records = [...origins.byId.values()].filter(({ origin: { service } }) =>
        listHomes(service).includes(vmId),
      );
      sendRecords(vmId, records);
    },
    tick: () => {
      dropExpiredOrigins(origins, getNow());
      const services = new Set<ServiceName>();
      for (const streamId of own) {
        const record = origins.byId.get(streamId);
        if (record === undefined) own.delete(streamId);
        else services.add(record.origin.service);
      }
      for (const service of services) updateTold(service);
    },
  };
}
