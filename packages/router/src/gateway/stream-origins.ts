/**
 * Knows which software version began each stream: of this VM's own streams, and of those that other
 * VMs tell it of. The first VMs of a service's ranking, its homes, are told of the streams of all VMs,
 * unless every VM can see for itself that the service had one version only.
 */

import {
  dropExpiredOrigins,
  listOrigins,
  makeStreamOrigins,
  recordOrigin,
  type OriginRecord,
  type OriginVote,
  type StreamKey,
  type StreamOrigin,
} from '@tarragonspool/core';
import type { OriginMessage, ServiceName, StreamId, VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeOriginHomes, type OriginHomesParts } from './origin-homes.js';
import { makeOriginQuestions, type OriginQuestions } from './origin-questions.js';
import type { VersionQuestions } from './versions/version-questions.js';

/** Knowledge of one VM of where streams began. */
export type StreamOriginBook = {
  /** Records a stream of this VM that has its first event, and tells the homes. */
  readonly recordOwn: (record: OriginRecord) => void;
  /** Finds the origin of a stream that its caller names; undefined if others are to be asked. */
  readonly find: (key: StreamKey) => StreamOrigin | undefined;
  /** Asks the homes of these services; answers undefined if it is not certain in time. */
  readonly ask: OriginQuestions['ask'];
  /** Records streams that were saved before the start of this VM. */
  readonly recordSaved: (records: readonly OriginRecord[]) => void;
  readonly handleMessage: (from: VmId, message: OriginMessage) => void;
  /** Tells a VM that has just been linked, if it is a home, of all streams known here. */
  readonly handleLinkOpened: (vmId: VmId) => void;
  readonly handleLinkClosed: () => void;
  readonly tick: () => void;
};

/** Dependencies of the book; homes are VMs that are told of the streams of a service. */
export type StreamOriginParts = Omit<OriginHomesParts, 'getNow'> & {
  /** Returns false if the VM is not linked. */
  readonly sendTo: (vmId: VmId, message: OriginMessage) => boolean;
  /** Saves a stream that may outlast all VMs; called for each that this VM hears of. */
  readonly save: (record: OriginRecord) => void;
  readonly isSavedRead: () => boolean;
  /** Asks the store where streams of services may have begun, as of now. */
  readonly readUsed: VersionQuestions['ask'];
  readonly logger: Logger;
  readonly getNow?: () => number;
  /** Runs a function after a delay in milliseconds; returns how to cancel it. */
  readonly schedule?: (run: () => void, delayMs: number) => () => void;
};

/** Origins are told in groups, after this time. */
const SEND_DELAY_MS = 10;
const MAX_ITEMS_PER_MESSAGE = 500;

type OriginItem = Extract<OriginMessage, { kind: 'stream-origins' }>['items'][number];

function scheduleTimer(run: () => void, delayMs: number): () => void {
  const timer = setTimeout(run, delayMs);
  return () => clearTimeout(timer);
}

/** Makes the book of this VM. */
export function makeStreamOriginBook(parts: StreamOriginParts): StreamOriginBook {
  const { listHomes, listServices, listUsedVersions, sendTo, self, save, logger } = parts;
  const getNow = parts.getNow ?? getSteadyMs;
  const schedule = parts.schedule ?? scheduleTimer;
  const origins = makeStreamOrigins();
  const homes = makeOriginHomes({ ...parts, getNow });
  /** Streams that this VM serves or has served. */
  const own = new Set<StreamId>();
  /** Homes that have been told of all streams known here, by service; none while it has one version only. */
  const toldHomes = new Map<ServiceName, ReadonlySet<VmId>>();
  const unsent: OriginRecord[] = [];
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

  /** Tells a home of all that is known here of a service and, if this VM is one too, what is not. */
  function tellHome(home: VmId, service: ServiceName): void {
    const records = [...origins.byId.values()];
    sendRecords(
      home,
      records.filter(({ origin }) => origin.service === service),
    );
    const untold = homes.buildMessage(service);
    if (untold !== undefined) sendTo(home, untold);
  }

  function tellNewHomes(service: ServiceName): void {
    const told = toldHomes.get(service);
    const others = listHomes(service).filter((home) => home !== self);
    for (const home of others) if (told?.has(home) !== true) tellHome(home, service);
    toldHomes.set(service, new Set(others));
  }

  function listOwn(service: ServiceName): OriginRecord[] {
    const records = [...own].map((streamId) => origins.byId.get(streamId));
    return records.filter((item) => item?.origin.service === service) as OriginRecord[];
  }

  /** Whether the homes of a service are told of its streams; they are told of all at the beginning. */
  function updateTold(service: ServiceName): boolean {
    if (listUsedVersions(service)?.length === 1) {
      toldHomes.delete(service);
      return false;
    }
    if (!toldHomes.has(service)) {
      logger.info({ service }, 'origins: homes are told of streams');
      for (const item of listOwn(service)) save(item);
    }
    tellNewHomes(service);
    return true;
  }

  function recordItem(item: OriginRecord): void {
    for (const { origin, expiresAt } of recordOrigin(origins, item)) {
      homes.addForgotten(origin, expiresAt);
    }
  }

  function buildVote(key: StreamKey, services: readonly ServiceName[]): OriginVote {
    const known = listOrigins(origins, key, getNow());
    return { known, untold: homes.listUntold(services), used: homes.listUsed(services) };
  }

  const { isSavedRead, readUsed } = parts;
  const asking = { self, listHomes, sendTo, isSavedRead, buildVote, readUsed, getNow, schedule };
  const questions = makeOriginQuestions(asking);

  return {
    recordOwn: (item) => {
      const { streamId, origin } = item;
      own.add(streamId);
      const isTold = updateTold(origin.service);
      recordItem(item);
      if (!isTold) return;
      save(item);
      unsent.push(item);
      if (isSending) return;
      isSending = true;
      schedule(flush, SEND_DELAY_MS);
    },
    find: (key) =>
      key.streamId === undefined ? undefined : listOrigins(origins, key, getNow())[0],
    ask: questions.ask,
    recordSaved: (records) => {
      for (const item of records) recordItem(item);
    },
    handleMessage: (from, message) => {
      switch (message.kind) {
        case 'stream-origins': {
          const now = getNow();
          for (const { streamId, contentKey, endsInMs, ...origin } of message.items) {
            const item = { streamId, contentKey, origin, expiresAt: now + endsInMs };
            recordItem(item);
            save(item);
          }
          return;
        }
        case 'stream-origins-untold':
          homes.merge(message);
          return;
        case 'stream-origin-request': {
          const { number, streamId, contentKey, services } = message;
          const vote = buildVote({ streamId, contentKey }, services);
          sendTo(from, { kind: 'stream-origin-answer', number, ...vote });
          return;
        }
        case 'stream-origin-answer':
          questions.handleAnswer(from, message.number, message);
          return;
        default:
          message satisfies never;
      }
    },
    handleLinkOpened: (vmId) => {
      homes.update();
      for (const service of listServices()) {
        if (listHomes(service).includes(vmId)) tellHome(vmId, service);
      }
    },
    handleLinkClosed: homes.addLoss,
    tick: () => {
      dropExpiredOrigins(origins, getNow());
      homes.update();
      for (const service of listServices()) updateTold(service);
      for (const streamId of own) if (!origins.byId.has(streamId)) own.delete(streamId);
    },
  };
}
