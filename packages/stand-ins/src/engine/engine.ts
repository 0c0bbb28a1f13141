/**
 * Stand-in for a model engine: serial prefill, continuous batching of decode, limited memory,
 * KV export over a link of limited rate, late load reports. One step loop moves everything on.
 */

import type { ServerResponse } from 'node:http';
import { PREFIX_BLOCK_CHARACTERS, countTokens } from '@tarragonspool/core';
import type {
  AttemptId,
  DecodeFrame,
  DecodeOrder,
  EngineHold,
  EngineOrder,
  EngineRole,
  FencingNumber,
  HoldOwner,
  LoadReport,
  ModelName,
  ModelTarget,
  PrefillOrder,
  RequestId,
  UpstreamId,
} from '@tarragonspool/protocol';
import { sendJson } from '../http/json-server.js';
import type { EngineSettings } from './engine-settings.js';
import { KvLink } from './kv-link.js';
import { PrefixCache } from './prefix-cache.js';
import { digestPrompt, makeTokenText } from './token-text.js';

type PrefillJob = {
  readonly order: PrefillOrder;
  readonly response: ServerResponse;
  readonly pieces: number;
  cachedTokens: number;
  remainingTokens: number;
};

/** What travels with KV cache, so that the importer continues the right answer. */
type KvContent = {
  readonly tokens: number;
  readonly promptDigest: number;
  readonly isDeadly: boolean;
};

type KeptKv = {
  readonly owner: HoldOwner;
  readonly content: KvContent;
  readonly pieces: number;
  readonly expiresAt: number;
};

type Stream = {
  readonly order: DecodeOrder;
  readonly response: ServerResponse;
  readonly pieces: number;
  readonly importing: AbortController;
  content: KvContent | undefined;
  nextIndex: number;
};

/** Faults that tests switch on and off. */
export type EngineFaults = {
  /** Factor on the time of every prefill and decode step. */
  slowness: number;
  /** Never ends exports. */
  isExportStalled: boolean;
  /** Exits the process when a request with this fingerprint is decoded. */
  crashFingerprint: string;
};

/** Work done for one attempt. */
export type AttemptWork = {
  readonly requestId: RequestId;
  readonly upstreamId: UpstreamId;
  /** Milliseconds since the epoch. */
  readonly startedAt: number;
  prefillTokens: number;
  tokens: number;
};

/** A prompt with this text crashes the engine that prefills it. */
export const CRASH_PREFILL_TEXT = 'CRASH-PREFILL';
/** A prompt with this text crashes the engine that decodes its first token. */
export const CRASH_DECODE_TEXT = 'CRASH-DECODE';
const CRASH_EXIT_CODE = 134;
const STEP_INTERVAL_MS = 4;
const MAX_ELAPSED_MS = 200;
const REPORTS_KEPT = 2;
const TOKENS_PER_BLOCK = countTokens('x'.repeat(PREFIX_BLOCK_CHARACTERS));

function writeFrame(stream: Stream, frame: DecodeFrame): void {
  if (!stream.response.destroyed) stream.response.write(`${JSON.stringify(frame)}\n`);
}

function isSameTarget(a: ModelTarget, b: ModelTarget): boolean {
  return a.model === b.model && a.adapter === b.adapter && a.version === b.version;
}

/** A stand-in engine. */
export class Engine {
  readonly faults: EngineFaults = { slowness: 1, isExportStalled: false, crashFingerprint: '' };

  readonly counts = { prefills: 0, prefillTokens: 0, cachedTokens: 0, answers: 0, refusals: 0 };

  /** Work by attempt, since the start. */
  readonly work = new Map<AttemptId, AttemptWork>();

  readonly cache: PrefixCache;

  private readonly settings: EngineSettings;

  private readonly link: KvLink;

  private readonly queue: PrefillJob[] = [];

  private running: PrefillJob | undefined;

  private readonly kept = new Map<AttemptId, KeptKv>();

  private readonly streams = new Map<AttemptId, Stream>();

  private role: EngineRole;

  private wantedRole: EngineRole;

  private targets: ModelTarget[];

  private fencingNumber = 0;

  private readonly reports: LoadReport[] = [];

  private stepTimer: NodeJS.Timeout | undefined;

  private steppedAt = 0;

  private decodeElapsedMs = 0;

  constructor(settings: EngineSettings) {
    this.settings = settings;
    this.role = settings.role;
    this.wantedRole = settings.role;
    this.targets = settings.model === '' ? [] : [{ model: settings.model as ModelName }];
    this.link = new KvLink(settings.linkBytesPerMs);
    const { cacheBlocks: blocks, cacheEventGap: eventGap, reportLagMs: eventLagMs } = settings;
    this.cache = new PrefixCache({ blocks, eventGap, eventLagMs });
    this.takeReport();
    setInterval(() => this.takeReport(), settings.reportLagMs).unref();
  }

  /** Returns a load report that is one interval old. */
  readLoad(): LoadReport | undefined {
    return this.reports[0];
  }

  /** Queues a prefill, greater priorities first. */
  startPrefill(order: PrefillOrder, response: ServerResponse): void {
    if (this.isRefused('prefill', order.target, response)) return;
    const pieces = this.countPieces(order.promptTokens);
    const job: PrefillJob = { order, response, pieces, cachedTokens: 0, remainingTokens: 0 };
    response.on('close', () => {
      if (!response.writableFinished) this.cancel(order.owner.attemptId);
    });
    let at = this.queue.length;
    while (at > 0 && (this.queue[at - 1]?.order.priority ?? 0) < order.priority) at -= 1;
    this.queue.splice(at, 0, job);
    this.wake();
  }

  /** Sends KV cache over the link; answers once it has been sent. */
  exportKv(attemptId: AttemptId, response: ServerResponse): void {
    const stream = this.streams.get(attemptId);
    const content = this.kept.get(attemptId)?.content ?? stream?.content;
    if (content === undefined) {
      sendJson(response, 404, { error: 'no such KV cache' });
      return;
    }
    if (this.faults.isExportStalled) return;
    const bytes = (content.tokens + (stream?.nextIndex ?? 0)) * this.settings.kvBytesPerToken;
    this.link.start(response, bytes, content, () => this.kept.delete(attemptId));
    this.wake();
  }

  /** Imports KV cache and streams tokens. */
  startDecode(order: DecodeOrder, response: ServerResponse): void {
    if (this.isRefused('decode', order.target, response)) return;
    const { attemptId } = order.owner;
    const pieces = this.countPieces(order.promptTokens + order.maxTokens);
    const isFull = this.streams.size >= this.settings.decodePlaces;
    if (isFull || pieces > this.countFreePieces() || this.streams.has(attemptId)) {
      this.counts.refusals += 1;
      sendJson(response, 429, { error: 'no place' });
      return;
    }
    const importing = new AbortController();
    const nextIndex = order.fromIndex;
    const stream: Stream = { order, response, pieces, importing, content: undefined, nextIndex };
    this.streams.set(attemptId, stream);
    response.on('close', () => this.dropStream(stream));
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    this.importKv(stream).catch((error: unknown) => {
      writeFrame(stream, { kind: 'error', attemptId, error: String(error) });
      response.end();
      this.dropStream(stream);
    });
  }

  /** Frees whatever is held for an attempt. */
  cancel(attemptId: AttemptId): void {
    const at = this.queue.findIndex((job) => job.order.owner.attemptId === attemptId);
    if (at >= 0) this.queue.splice(at, 1)[0]?.response.destroy();
    if (this.running?.order.owner.attemptId === attemptId) {
      this.running.response.destroy();
      this.running = undefined;
    }
    this.kept.delete(attemptId);
    const stream = this.streams.get(attemptId);
    if (stream === undefined) return;
    this.dropStream(stream);
    stream.response.destroy();
  }

  /** Lists everything that is held or queued. */
  listHolds(): EngineHold[] {
    const holds: EngineHold[] = [];
    for (const { order, pieces } of this.running === undefined ? [] : [this.running]) {
      holds.push({ owner: order.owner, kind: 'prefill', pieces });
    }
    for (const { order } of this.queue) {
      holds.push({ owner: order.owner, kind: 'prefill', pieces: 0 });
    }
    for (const { owner, pieces } of this.kept.values()) holds.push({ owner, kind: 'kv', pieces });
    for (const { order, pieces } of this.streams.values()) {
      holds.push({ owner: order.owner, kind: 'decode', pieces });
    }
    return holds;
  }

  /** Takes an order to change role or targets. A role changes once the work of the old one ended. */
  takeOrder(order: EngineOrder, response: ServerResponse): void {
    if (this.settings.isFencing && order.fencingNumber < this.fencingNumber) {
      sendJson(response, 409, { kind: 'fenced', fencingNumber: this.fencingNumber });
      return;
    }
    this.fencingNumber = Math.max(this.fencingNumber, order.fencingNumber);
    if (order.kind === 'set-role') this.wantedRole = order.role;
    if (order.kind === 'load-target') this.loadTarget(order.target).catch(() => undefined);
    if (order.kind === 'unload-target') {
      this.targets = this.targets.filter((target) => !isSameTarget(target, order.target));
    }
    this.wake();
    sendJson(response, 200, { kind: 'accepted' });
  }

  private async loadTarget(target: ModelTarget): Promise<void> {
    if (this.targets.some((loaded) => isSameTarget(loaded, target))) return;
    const name = encodeURIComponent(JSON.stringify(target));
    if (this.settings.weightStoreUrl !== '') {
      await fetch(`${this.settings.weightStoreUrl}/weights/${name}`);
    }
    this.targets.push(target);
  }

  private isRefused(role: EngineRole, target: ModelTarget, response: ServerResponse): boolean {
    const isLoaded =
      this.settings.model === '' || this.targets.some((loaded) => isSameTarget(loaded, target));
    if (this.role === role && this.wantedRole === role && isLoaded) return false;
    this.counts.refusals += 1;
    sendJson(response, 409, { error: isLoaded ? `no ${role} role` : 'target is not loaded' });
    return true;
  }

  private countPieces(tokens: number): number {
    return Math.ceil(tokens / this.settings.tokensPerPiece);
  }

  private countFreePieces(): number {
    let free = this.settings.totalPieces - (this.running?.pieces ?? 0);
    for (const kv of this.kept.values()) free -= kv.pieces;
    for (const stream of this.streams.values()) free -= stream.pieces;
    return free;
  }

  private takeReport(): void {
    let queuedPrefillTokens = this.running?.remainingTokens ?? 0;
    for (const job of this.queue) queuedPrefillTokens += job.order.promptTokens;
    this.reports.push({
      role: this.role,
      queuedPrefillTokens: Math.ceil(queuedPrefillTokens),
      decodeStreams: this.streams.size,
      decodePlaces: this.settings.decodePlaces,
      freePieces: this.countFreePieces(),
      totalPieces: this.settings.totalPieces,
      loadedTargets: [...this.targets],
      fencingNumber: this.fencingNumber as FencingNumber,
      measuredAt: Date.now(),
    });
    if (this.reports.length > REPORTS_KEPT) this.reports.shift();
  }

  private findWork({ requestId, attemptId }: HoldOwner): AttemptWork {
    const known = this.work.get(attemptId);
    if (known !== undefined) return known;
    const { upstreamId } = this.settings;
    const startedAt = Date.now();
    const work = { requestId, upstreamId, startedAt, prefillTokens: 0, tokens: 0 };
    this.work.set(attemptId, work);
    return work;
  }

  private get isIdle(): boolean {
    const { queue, kept, streams, link } = this;
    const isEmpty = this.running === undefined && queue.length === 0 && kept.size === 0;
    return isEmpty && streams.size === 0 && link.isIdle && this.role === this.wantedRole;
  }

  private wake(): void {
    if (this.stepTimer !== undefined) return;
    this.steppedAt = performance.now();
    this.stepTimer = setInterval(() => this.step(), STEP_INTERVAL_MS);
  }

  private step(): void {
    const now = performance.now();
    const elapsedMs = Math.min(now - this.steppedAt, MAX_ELAPSED_MS);
    this.steppedAt = now;
    this.stepPrefill(elapsedMs / this.faults.slowness);
    this.link.step(elapsedMs);
    this.stepDecode(elapsedMs / this.faults.slowness);
    for (const [attemptId, kv] of this.kept) {
      if (kv.expiresAt <= Date.now()) this.kept.delete(attemptId);
    }
    const hasPrefill = this.running !== undefined || this.queue.length > 0 || this.kept.size > 0;
    const isDrained = this.role === 'prefill' ? !hasPrefill : this.streams.size === 0;
    if (isDrained) this.role = this.wantedRole;
    if (!this.isIdle) return;
    clearInterval(this.stepTimer);
    this.stepTimer = undefined;
  }

  private stepPrefill(elapsedMs: number): void {
    let budget = elapsedMs * this.settings.prefillTokensPerMs;
    while (budget > 0) {
      this.running ??= this.takeNextPrefill();
      const job = this.running;
      if (job === undefined) return;
      const done = Math.min(budget, job.remainingTokens);
      job.remainingTokens -= done;
      budget -= done;
      this.counts.prefillTokens += done;
      this.findWork(job.order.owner).prefillTokens += done;
      if (job.remainingTokens > 0) return;
      this.endPrefill(job);
    }
  }

  private takeNextPrefill(): PrefillJob | undefined {
    const [job] = this.queue;
    if (job === undefined || job.pieces > this.countFreePieces()) return undefined;
    this.queue.shift();
    if (job.order.prompt.includes(CRASH_PREFILL_TEXT)) process.exit(CRASH_EXIT_CODE);
    const { promptTokens, prefixes } = job.order;
    job.cachedTokens = Math.min(
      promptTokens - 1,
      this.cache.countHits(prefixes) * TOKENS_PER_BLOCK,
    );
    job.remainingTokens = promptTokens - job.cachedTokens;
    return job;
  }

  private endPrefill(job: PrefillJob): void {
    const { order, response, pieces, cachedTokens } = job;
    const { owner, prompt, promptTokens } = order;
    const now = Date.now();
    this.running = undefined;
    this.counts.prefills += 1;
    this.counts.cachedTokens += cachedTokens;
    this.cache.add(order.prefixes, now);
    if (response.destroyed) return;
    const isDeadly = prompt.includes(CRASH_DECODE_TEXT);
    const content = { tokens: promptTokens, promptDigest: digestPrompt(prompt), isDeadly };
    const expiresAt = now + this.settings.kvKeptMs;
    this.kept.set(owner.attemptId, { owner, content, pieces, expiresAt });
    const kvBytes = promptTokens * this.settings.kvBytesPerToken;
    sendJson(response, 200, { promptTokens, cachedTokens, kvBytes });
  }

  private async importKv(stream: Stream): Promise<void> {
    const { source, owner } = stream.order;
    const answer = await fetch(`${source.url}/export`, {
      method: 'POST',
      body: JSON.stringify({ attemptId: source.attemptId }),
      signal: stream.importing.signal,
    });
    const content = (await answer.json()) as KvContent;
    if (answer.status !== 200) throw new Error(`export answered ${answer.status}`);
    if (this.streams.get(owner.attemptId) !== stream) return;
    stream.content = content;
    writeFrame(stream, { kind: 'imported', attemptId: owner.attemptId });
    this.wake();
  }

  private dropStream(stream: Stream): void {
    stream.importing.abort();
    const { attemptId } = stream.order.owner;
    if (this.streams.get(attemptId) === stream) this.streams.delete(attemptId);
  }

  private stepDecode(elapsedMs: number): void {
    const batch = [...this.streams.values()].filter(({ content }) => content !== undefined);
    const { stepMs, stepMsPerStream } = this.settings;
    const durationMs = stepMs + stepMsPerStream * batch.length;
    this.decodeElapsedMs = batch.length === 0 ? 0 : this.decodeElapsedMs + elapsedMs;
    if (this.decodeElapsedMs < durationMs) return;
    this.decodeElapsedMs = Math.min(this.decodeElapsedMs - durationMs, durationMs);
    for (const stream of batch) this.stepStream(stream);
  }

  private stepStream(stream: Stream): void {
    const { order, content, nextIndex: index } = stream;
    const { attemptId } = order.owner;
    const isDeadly = content?.isDeadly || order.fingerprint === this.faults.crashFingerprint;
    if (isDeadly) process.exit(CRASH_EXIT_CODE);
    stream.nextIndex += 1;
    this.findWork(order.owner).tokens += 1;
    const text = makeTokenText(content?.promptDigest ?? 0, index);
    writeFrame(stream, { kind: 'token', attemptId, index, text });
    if (stream.nextIndex < order.maxTokens) return;
    this.streams.delete(attemptId);
    this.counts.answers += 1;
    writeFrame(stream, {
      kind: 'end',
      attemptId,
      tokens: stream.nextIndex,
      finishReason: 'length',
    });
    stream.response.end();
  }
}
