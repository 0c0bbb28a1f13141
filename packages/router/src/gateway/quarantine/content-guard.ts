/**
 * Uses the quarantine machine to detect request contents that crash servers, so that every VM
 * refuses them. VMs tell each other the contents that were at a crash, and which ones they refuse.
 */

import {
  dropOldest,
  findContentStatus,
  handleQuarantineEvent,
  hasOpenQuestions,
  isAwaitingVerdict,
  listQuarantined,
  listSuspects,
  makeQuarantineState,
  type ProbedServer,
  type QuarantineEvent,
} from '@tarragonspool/core';
import type {
  Fingerprint,
  PromptPartId,
  QuarantineScope,
  SuspectRecord,
  UpstreamId,
} from '@tarragonspool/protocol';
import type { Logger } from '../../logging/logger.js';
import { getSteadyMs } from '../../time/steady-clock.js';
import { makeContentKey, type NamedContent } from './content-rows.js';
import { buildContent, type RequestContent } from './quarantine-scope.js';

/** What a request that broke off was made of. */
export type BrokenRequest = {
  readonly content: RequestContent;
  /** Whether the server had sent events for it. */
  readonly hasEvents: boolean;
  /** Parts that its prompt shares with others. */
  readonly promptParts: readonly PromptPartId[];
};

/** Content guard of one VM. */
export type ContentGuard = {
  readonly isQuarantined: (fingerprint: Fingerprint) => boolean;
  /** Whether a content may have crashed two servers, and peers have not told yet what else was there. */
  readonly isAwaitingVerdict: (fingerprint: Fingerprint) => boolean;
  /** Records that a request broke off at a server. */
  readonly recordBroken: (upstreamId: UpstreamId, broken: BrokenRequest) => void;
  readonly recordAnswered: (fingerprint: Fingerprint) => void;
  /** Merges records of a peer; their expiry times are relative to now. */
  readonly mergeRecords: (items: readonly SuspectRecord[]) => void;
  /** Takes the contents that the store lists; they expire on the steady clock. */
  readonly mergeStored: (items: readonly NamedContent[]) => void;
  /** Lists the contents in quarantine, as rows name them. */
  readonly listQuarantined: () => readonly NamedContent[];
  /** Lists the contents in quarantine, and suspects, as peers are told; their expiry times are relative to now. */
  readonly listTold: () => readonly SuspectRecord[];
  /** Keys of the rows of contents whose refusal has ended. */
  readonly listLifted: () => ReadonlySet<string>;
  readonly tick: () => void;
  /** Whether a possible crash or a content is being judged, which needs ticks at short intervals. */
  readonly isBusy: () => boolean;
};

/** Dependencies of the guard. */
export type ContentGuardParts = {
  /** Returns whether the run of a server's process that `crashId` names lives. */
  readonly probe: (upstreamId: UpstreamId, crashId: string | undefined) => Promise<boolean>;
  /** Sends records to all peers; their expiry times are relative to now, because clocks differ. */
  readonly broadcast: (items: readonly SuspectRecord[]) => void;
  /** Identifies the run of a server's process that this VM knows, the same at all VMs. */
  readonly getCrashId: (upstreamId: UpstreamId) => string;
  /** Lists the scopes in which requests reach a server. */
  readonly listScopes: (upstreamId: UpstreamId) => readonly QuarantineScope[];
  /** Called when a server crashed before it had sent events for these prompts. */
  readonly onCrash: (crashId: string, prompts: readonly (readonly PromptPartId[])[]) => void;
  /** Called when the contents in quarantine have changed; `isOwn` if this VM saw a crash of theirs. */
  readonly onChanged: (isOwn: boolean) => void;
  /** Called when a possible crash, or a content, begins to be judged. */
  readonly onBusy?: () => void;
  readonly takeFraction: () => number;
  readonly logger: Logger;
  readonly getNow?: () => number;
};

/** As many as the machine has suspects at most. */
const MAX_CONTENTS = 10_000;
/** Refusals that ended are kept out of the store, the latest of them. */
const MAX_LIFTED = 1_000;
/** The latest refusals are stored, and told to VMs as their links open. */
const MAX_TOLD = 200;
const MAX_VOUCH_DELAY_MS = 100;

function addToExpiries(items: readonly SuspectRecord[], offsetMs: number): SuspectRecord[] {
  return items.map((item) => ({ ...item, expiresAt: item.expiresAt + offsetMs }));
}

/** Makes the content guard of this VM. */
export function makeContentGuard(parts: ContentGuardParts): ContentGuard {
  const { probe, broadcast, logger } = parts;
  const getNow = parts.getNow ?? getSteadyMs;
  const state = makeQuarantineState();
  /** Contents that were at crashes, by their fingerprints. */
  const contents = new Map<Fingerprint, RequestContent>();
  const lifted = new Set<string>();
  const vouching = new Map<Fingerprint, NodeJS.Timeout>();

  function startProbe(
    { upstreamId, crashId }: ProbedServer,
    onProbed: (isAlive: boolean) => void,
  ): void {
    const report = (isAlive: boolean): void => {
      logger.info({ upstreamId, crashId, isAlive }, 'quarantine: server probed');
      onProbed(isAlive);
    };
    probe(upstreamId, crashId).then(report, (error: unknown) => {
      logger.error({ upstreamId, err: error }, 'quarantine: probe failed');
    });
  }

  function rememberContent(content: RequestContent): Fingerprint {
    contents.set(content.fingerprint, content);
    dropOldest(contents, MAX_CONTENTS);
    return content.fingerprint;
  }

  /** Peers get the digest that older versions know, and the scope beside it. */
  function encodeRecord(item: SuspectRecord): SuspectRecord {
    const content = contents.get(item.fingerprint);
    if (content === undefined) return item;
    return { ...item, fingerprint: content.digest, scope: content.scope };
  }

  /** Finds the contents that a record names; one without a scope names those at the server's service. */
  function decodeRecord(item: SuspectRecord): SuspectRecord[] {
    const { scope, fingerprint: digest, lastUpstream } = item;
    if (scope !== undefined) {
      return [{ ...item, fingerprint: rememberContent(buildContent(scope, digest)) }];
    }
    const known = [...contents.values()].filter((content) => content.digest === digest);
    if (item.crashes === 0) return known.map(({ fingerprint }) => ({ ...item, fingerprint }));
    const crashIds = [parts.getCrashId(lastUpstream)];
    return parts.listScopes(lastUpstream).map((named) => {
      const fingerprint = rememberContent(buildContent(named, digest));
      return { ...item, fingerprint, crashIds };
    });
  }

  function publish(items: readonly SuspectRecord[]): void {
    logger.warn({ items }, 'quarantine: contents blamed for a crash');
    broadcast(addToExpiries(items, -getNow()).map(encodeRecord));
  }

  /** Of all VMs that know an answer the quickest one tells so, well before contents are judged. */
  function vouchSoon(record: SuspectRecord): void {
    const { fingerprint } = record;
    if (vouching.has(fingerprint)) return;
    const tell = (): void => {
      vouching.delete(fingerprint);
      publish([record]);
    };
    vouching.set(fingerprint, setTimeout(tell, parts.takeFraction() * MAX_VOUCH_DELAY_MS));
  }

  /** Another VM has told that a content is sound. */
  function stopVouching(heard: readonly SuspectRecord[]): void {
    for (const { fingerprint, isSound } of heard) {
      if (isSound !== true) continue;
      clearTimeout(vouching.get(fingerprint));
      vouching.delete(fingerprint);
    }
  }

  function findKey(fingerprint: Fingerprint): string | undefined {
    const content = contents.get(fingerprint);
    return content && makeContentKey({ scope: content.scope, fingerprint: content.digest });
  }

  function keepRow(fingerprint: Fingerprint): void {
    const key = findKey(fingerprint);
    if (key !== undefined) lifted.delete(key);
  }

  function liftRow(fingerprint: Fingerprint): void {
    const key = findKey(fingerprint);
    if (key === undefined) return;
    lifted.add(key);
    dropOldest(lifted, MAX_LIFTED);
  }

  /** What a peer refuses or has cleared is to be in the rows, or out of them, too. */
  function recordChanges(heard: readonly SuspectRecord[]): void {
    const now = getNow();
    let hasChanged = false;
    for (const { fingerprint, crashes } of heard) {
      const { kind } = findContentStatus(state, fingerprint, now);
      if (crashes === 0) liftRow(fingerprint);
      else if (kind === 'quarantined') keepRow(fingerprint);
      hasChanged ||= crashes === 0 || kind === 'quarantined';
    }
    if (hasChanged) parts.onChanged(false);
  }

  function nameContents(records: readonly SuspectRecord[]): NamedContent[] {
    const named: NamedContent[] = [];
    for (const record of records.slice(-MAX_TOLD)) {
      const content = contents.get(record.fingerprint);
      if (content === undefined) continue;
      named.push({ ...record, fingerprint: content.digest, scope: content.scope });
    }
    return named;
  }

  function apply(event: QuarantineEvent): void {
    for (const action of handleQuarantineEvent(state, event)) {
      switch (action.kind) {
        case 'probe': {
          const { upstreamId } = action;
          startProbe(action, (isAlive) =>
            apply({ kind: 'probed', upstreamId, isAlive, now: getNow() }),
          );
          break;
        }
        case 'vouch':
          vouchSoon(action.record);
          break;
        case 'crashed':
          parts.onCrash(action.crashId, action.prompts);
          break;
        case 'publish':
          publish(action.items);
          break;
        case 'store':
          keepRow(action.record.fingerprint);
          parts.onChanged(action.isOwn);
          break;
        case 'remove':
          liftRow(action.fingerprint);
          parts.onChanged(true);
          break;
        default:
          action satisfies never;
      }
    }
  }

  return {
    isQuarantined: (fingerprint) =>
      findContentStatus(state, fingerprint, getNow()).kind === 'quarantined',
    isAwaitingVerdict: (fingerprint) => isAwaitingVerdict(state, fingerprint),
    recordBroken: (upstreamId, { content, hasEvents: hasTokens, promptParts }) => {
      const now = getNow();
      const crashId = parts.getCrashId(upstreamId);
      const fingerprint = rememberContent(content);
      apply({ kind: 'broken', upstreamId, crashId, fingerprint, hasTokens, promptParts, now });
      parts.onBusy?.();
    },
    recordAnswered: (fingerprint) => {
      apply({ kind: 'succeeded', fingerprint, now: getNow() });
    },
    mergeRecords: (items) => {
      const now = getNow();
      const heard = addToExpiries(items, now).flatMap(decodeRecord);
      apply({ kind: 'heard', items: heard, now });
      stopVouching(heard);
      recordChanges(heard);
      if (hasOpenQuestions(state)) parts.onBusy?.();
    },
    mergeStored: (items) => {
      const current = items.filter((item) => !lifted.has(makeContentKey(item)));
      apply({ kind: 'heard', items: current.flatMap(decodeRecord), now: getNow() });
    },
    listQuarantined: () => nameContents(listQuarantined(state, getNow())),
    listTold: () => addToExpiries(nameContents(listSuspects(state)), -getNow()),
    listLifted: () => lifted,
    tick: () => apply({ kind: 'ticked', now: getNow() }),
    isBusy: () => hasOpenQuestions(state),
  };
}
