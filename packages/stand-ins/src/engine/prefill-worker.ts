/** Prefills one prompt after another and keeps each result for a while. */

import type { ServerResponse } from 'node:http';
import { PREFIX_BLOCK_CHARACTERS, estimateTokens } from '@tarragonspool/core';
import type { AttemptId, EngineHold, HoldOwner, PrefillOrder } from '@tarragonspool/protocol';
import { sendJson } from '../http/json-server.js';
import type { EngineSettings } from './engine-settings.js';
import {
  CRASH_DECODE_TEXT,
  CRASH_EXIT_CODE,
  CRASH_PREFILL_TEXT,
  type KvContent,
  type WorkLog,
} from './kv-content.js';
import { PrefixCache } from './prefix-cache.js';
import { digestPrompt } from './token-text.js';

type Job = {
  readonly order: PrefillOrder;
  readonly response: ServerResponse;
  readonly pieces: number;
  cachedTokens: number;
  remainingTokens: number;
};

type KeptKv = {
  readonly owner: HoldOwner;
  readonly content: KvContent;
  readonly pieces: number;
  readonly expiresAt: number;
};

const TOKENS_PER_BLOCK = estimateTokens('x'.repeat(PREFIX_BLOCK_CHARACTERS));

/** The prefill side of an engine. */
export class PrefillWorker {
  readonly cache: PrefixCache;

  private readonly settings: EngineSettings;

  private readonly work: WorkLog;

  private readonly countFreePieces: () => number;

  private readonly queue: Job[] = [];

  private running: Job | undefined;

  private readonly kept = new Map<AttemptId, KeptKv>();

  constructor(settings: EngineSettings, work: WorkLog, countFreePieces: () => number) {
    this.settings = settings;
    this.work = work;
    this.countFreePieces = countFreePieces;
    const { cacheBlocks: blocks, cacheEventGap: eventGap, reportLagMs: eventLagMs } = settings;
    this.cache = new PrefixCache({ blocks, eventGap, eventLagMs });
  }

  get isIdle(): boolean {
    return this.running === undefined && this.queue.length === 0 && this.kept.size === 0;
  }

  get usedPieces(): number {
    let used = this.running?.pieces ?? 0;
    for (const { pieces } of this.kept.values()) used += pieces;
    return used;
  }

  get queuedTokens(): number {
    let tokens = this.running?.remainingTokens ?? 0;
    for (const { order } of this.queue) tokens += order.promptTokens;
    return Math.ceil(tokens);
  }

  /** Queues a prefill, greater priorities first. */
  add(order: PrefillOrder, response: ServerResponse): void {
    const pieces = Math.ceil(order.promptTokens / this.settings.tokensPerPiece);
    const job: Job = { order, response, pieces, cachedTokens: 0, remainingTokens: 0 };
    response.on('close', () => {
      if (!response.writableFinished) this.cancel(order.owner.attemptId);
    });
    let at = this.queue.length;
    while (at > 0 && (this.queue[at - 1]?.order.priority ?? 0) < order.priority) at -= 1;
    this.queue.splice(at, 0, job);
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
  }

  /** Finds a kept result that can be exported. */
  findKept(attemptId: AttemptId): KvContent | undefined {
    return this.kept.get(attemptId)?.content;
  }

  /** Lists everything that is held or queued. */
  listHolds(): EngineHold[] {
    const holds: EngineHold[] = [];
    if (this.running !== undefined) {
      const { order, pieces } = this.running;
      holds.push({ owner: order.owner, kind: 'prefill', pieces });
    }
    for (const { order } of this.queue) {
      holds.push({ owner: order.owner, kind: 'prefill', pieces: 0 });
    }
    for (const { owner, pieces } of this.kept.values()) holds.push({ owner, kind: 'kv', pieces });
    return holds;
  }

  /** Prefills for the time that has passed, and drops results that were kept long enough. */
  step(elapsedMs: number): void {
    let budget = elapsedMs * this.settings.prefillTokensPerMs;
    while (budget > 0) {
      this.running ??= this.takeNext();
      const job = this.running;
      if (job === undefined) break;
      const done = Math.min(budget, job.remainingTokens);
      job.remainingTokens -= done;
      budget -= done;
      this.work.find(job.order.owner).prefillTokens += done;
      if (job.remainingTokens > 0) break;
      this.endJob(job);
    }
    for (const [attemptId, kv] of this.kept) {
      if (kv.expiresAt <= Date.now()) this.kept.delete(attemptId);
    }
  }

  private takeNext(): Job | undefined {
    const [job] = this.queue;
    if (job === undefined || job.pieces > this.countFreePieces()) return undefined;
    this.queue.shift();
    const { prompt, promptTokens, prefixes } = job.order;
    if (prompt.includes(CRASH_PREFILL_TEXT)) process.exit(CRASH_EXIT_CODE);
    const hits = this.cache.countHits(prefixes) * TOKENS_PER_BLOCK;
    job.cachedTokens = Math.min(promptTokens - 1, hits);
    job.remainingTokens = promptTokens - job.cachedTokens;
    return job;
  }

  private endJob({ order, response, pieces, cachedTokens }: Job): void {
    const { owner, prompt, promptTokens: tokens, prefixes } = order;
    const now = Date.now();
    this.running = undefined;
    this.cache.add(prefixes, now);
    if (response.destroyed) return;
    const isDeadly = prompt.includes(CRASH_DECODE_TEXT);
    const content = { tokens, promptDigest: digestPrompt(prompt), isDeadly };
    const expiresAt = now + this.settings.kvKeptMs;
    this.kept.set(owner.attemptId, { owner, content, pieces, expiresAt });
    const kvBytes = tokens * this.settings.kvBytesPerToken;
    sendJson(response, 200, { promptTokens: tokens, cachedTokens, kvBytes });
  }
}
