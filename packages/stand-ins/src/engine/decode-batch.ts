/** Imports KV cache and decodes all streams together, one token each step. */

import type { ServerResponse } from 'node:http';
import type { AttemptId, DecodeFrame, DecodeOrder, EngineHold } from '@tarragonspool/protocol';
import type { EngineSettings } from './engine-settings.js';
import { CRASH_EXIT_CODE, type KvContent, type WorkLog } from './kv-content.js';
import { makeTokenText } from './token-text.js';

type Stream = {
  readonly order: DecodeOrder;
  readonly response: ServerResponse;
  readonly pieces: number;
  readonly importing: AbortController;
  content: KvContent | undefined;
  nextIndex: number;
};

function writeFrame(stream: Stream, frame: DecodeFrame): void {
  if (!stream.response.destroyed) stream.response.write(`${JSON.stringify(frame)}\n`);
}

/** The decode side of an engine. */
export class DecodeBatch {
  private readonly settings: EngineSettings;

  private readonly work: WorkLog;

  private readonly countFreePieces: () => number;

  private readonly streams = new Map<AttemptId, Stream>();

  private elapsedMs = 0;

  constructor(settings: EngineSettings, work: WorkLog, countFreePieces: () => number) {
    this.settings = settings;
    this.work = work;
    this.countFreePieces = countFreePieces;
  }

  get size(): number {
    return this.streams.size;
  }

  get usedPieces(): number {
    let used = 0;
    for (const { pieces } of this.streams.values()) used += pieces;
    return used;
  }

  /** Takes a place and starts to import; false if there is none. */
  start(order: DecodeOrder, response: ServerResponse, onImported: () => void): boolean {
    const { attemptId } = order.owner;
    const tokens = order.promptTokens + order.maxTokens;
    const pieces = Math.ceil(tokens / this.settings.tokensPerPiece);
    const isFull = this.streams.size >= this.settings.decodePlaces;
    if (isFull || pieces > this.countFreePieces() || this.streams.has(attemptId)) return false;
    const importing = new AbortController();
    const nextIndex = order.fromIndex;
    const stream: Stream = { order, response, pieces, importing, content: undefined, nextIndex };
    this.streams.set(attemptId, stream);
    response.on('close', () => this.remove(stream));
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    this.importKv(stream, onImported).catch((error: unknown) => {
      writeFrame(stream, { kind: 'error', attemptId, error: String(error) });
      response.end();
      this.remove(stream);
    });
    return true;
  }

  /** Frees whatever is held for an attempt. */
  cancel(attemptId: AttemptId): void {
    const stream = this.streams.get(attemptId);
    if (stream === undefined) return;
    this.remove(stream);
    stream.response.destroy();
  }

  /** Finds a stream whose KV cache can be exported, with all tokens that it covers by now. */
  findContent(attemptId: AttemptId): KvContent | undefined {
    const { content, nextIndex } = this.streams.get(attemptId) ?? {};
    return content && { ...content, tokens: content.tokens + (nextIndex ?? 0) };
  }

  /** Lists everything that is held. */
  listHolds(): EngineHold[] {
    const holds: EngineHold[] = [];
    for (const { order, pieces } of this.streams.values()) {
      holds.push({ owner: order.owner, kind: 'decode', pieces });
    }
    return holds;
  }

  /** Decodes for the time that has passed. */
  step(elapsedMs: number, crashFingerprint: string): void {
    const batch = [...this.streams.values()].filter(({ content }) => content !== undefined);
    const { stepMs, stepMsPerStream } = this.settings;
    const durationMs = stepMs + stepMsPerStream * batch.length;
    this.elapsedMs = batch.length === 0 ? 0 : this.elapsedMs + elapsedMs;
    if (this.elapsedMs < durationMs) return;
    this.elapsedMs = Math.min(this.elapsedMs - durationMs, durationMs);
    for (const stream of batch) {
      const { order, content } = stream;
      const isDeadly = content?.isDeadly || order.fingerprint === crashFingerprint;
      if (isDeadly) process.exit(CRASH_EXIT_CODE);
      this.stepStream(stream);
    }
  }

  private async importKv(stream: Stream, onImported: () => void): Promise<void> {
    const { source, owner } = stream.order;
    const answer = await fetch(`${source.url}/export`, {
      method: 'POST',
      body: JSON.stringify({ attemptId: source.attemptId }),
      signal: stream.importing.signal,
    });
    const content = (await answer.json()) as KvContent;
    if (answer.status !== 200) throw new Error(`export answered ${answer.status}`);
    if (this.streams.get(owner.attemptId) !== stream) return;
    stream.content = { ...content, tokens: stream.order.promptTokens };
    writeFrame(stream, { kind: 'imported', attemptId: owner.attemptId });
    onImported();
  }

  private remove(stream: Stream): void {
    stream.importing.abort();
    const { attemptId } = stream.order.owner;
    if (this.streams.get(attemptId) === stream) this.streams.delete(attemptId);
  }

  private stepStream(stream: Stream): void {
    const { order, content, nextIndex: index } = stream;
    const { attemptId } = order.owner;
    stream.nextIndex += 1;
    this.work.find(order.owner).tokens += 1;
    const text = makeTokenText(content?.promptDigest ?? 0, index);
    writeFrame(stream, { kind: 'token', attemptId, index, text });
    if (stream.nextIndex < order.maxTokens) return;
    this.streams.delete(attemptId);
    writeFrame(stream, {
      kind: 'end',
      attemptId,
      tokens: stream.nextIndex,
      finishReason: 'length',
    });
    stream.response.end();
  }
}
