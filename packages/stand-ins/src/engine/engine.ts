/**
 * Stand-in for a model engine: serial prefill, continuous batching of decode, limited memory,
 * KV export over a link of limited rate, late load reports. One step loop moves everything on.
 */

import type { ServerResponse } from 'node:http';
import type {
  AttemptId,
  DecodeOrder,
  EngineHold,
  EngineOrder,
  EngineRole,
  FencingNumber,
  LoadReport,
  ModelName,
  ModelTarget,
  PrefillOrder,
} from '@tarragonspool/protocol';
import { sendJson } from '../http/json-server.js';
import { DecodeBatch } from './decode-batch.js';
import type { EngineSettings } from './engine-settings.js';
import { makeWorkLog, type WorkLog } from './kv-content.js';
import { KvLink } from './kv-link.js';
import { PrefillWorker } from './prefill-worker.js';

/** Faults that tests switch on and off. */
export type EngineFaults = {
  /** Factor on the time of every prefill and decode step. */
  slowness: number;
  /** Never ends exports. */
  isExportStalled: boolean;
  /** Exits the process when a request with this fingerprint is decoded. */
  crashFingerprint: string;
};

const STEP_INTERVAL_MS = 4;
const MAX_ELAPSED_MS = 200;
const REPORTS_KEPT = 2;

function isSameTarget(a: ModelTarget, b: ModelTarget): boolean {
  return a.model === b.model && a.adapter === b.adapter && a.version === b.version;
}

/** A stand-in engine. */
export class Engine {
  readonly faults: EngineFaults = { slowness: 1, isExportStalled: false, crashFingerprint: '' };

  readonly work: WorkLog;

  readonly prefills: PrefillWorker;

  private readonly settings: EngineSettings;

  private readonly streams: DecodeBatch;

  private readonly link: KvLink;

  private role: EngineRole;

  private wantedRole: EngineRole;

  private targets: ModelTarget[];

  private fencingNumber = 0;

  private readonly reports: LoadReport[] = [];

  private stepTimer: NodeJS.Timeout | undefined;

  private steppedAt = 0;

  constructor(settings: EngineSettings) {
    this.settings = settings;
    this.role = settings.role;
    this.wantedRole = settings.role;
    this.targets = settings.model === '' ? [] : [{ model: settings.model as ModelName }];
    this.work = makeWorkLog(settings.upstreamId);
    this.link = new KvLink(settings.linkBytesPerMs);
    const countFreePieces = (): number => this.countFreePieces();
    this.prefills = new PrefillWorker(settings, this.work, countFreePieces);
    this.streams = new DecodeBatch(settings, this.work, countFreePieces);
    this.takeReport();
    setInterval(() => this.takeReport(), settings.reportLagMs).unref();
  }

  /** Returns a load report that is one interval old. */
  readLoad(): LoadReport | undefined {
    return this.reports[0];
  }

  /** Queues a prefill. */
  startPrefill(order: PrefillOrder, response: ServerResponse): void {
    if (this.isRefused('prefill', order.target, response)) return;
    this.prefills.add(order, response);
    this.startSteps();
  }

  /** Sends KV cache over the link; answers once it has been sent. */
  exportKv(attemptId: AttemptId, response: ServerResponse): void {
    const content = this.prefills.findKept(attemptId) ?? this.streams.findContent(attemptId);
    if (content === undefined) {
      sendJson(response, 404, { error: 'no such KV cache' });
      return;
    }
    if (this.faults.isExportStalled) return;
    const bytes = content.tokens * this.settings.kvBytesPerToken;
    this.link.start(response, bytes, content, () => this.prefills.cancel(attemptId));
    this.startSteps();
  }

  /** Imports KV cache and streams tokens. */
  startDecode(order: DecodeOrder, response: ServerResponse): void {
    if (this.isRefused('decode', order.target, response)) return;
    const hasPlace = this.streams.start(order, response, () => this.startSteps());
    if (!hasPlace) sendJson(response, 429, { error: 'no place' });
  }

  /** Frees whatever is held for an attempt. */
  cancel(attemptId: AttemptId): void {
    this.prefills.cancel(attemptId);
    this.streams.cancel(attemptId);
  }

  /** Lists everything that is held or queued. */
  listHolds(): EngineHold[] {
    return [...this.prefills.listHolds(), ...this.streams.listHolds()];
  }

  /** Takes an order to change role or targets. A role changes once the work of the old one ended. */
  takeOrder(order: EngineOrder, response: ServerResponse): void {
    if (this.settings.isFencing && order.fencingNumber < this.fencingNumber) {
      sendJson(response, 409, { kind: 'fenced', fencingNumber: this.fencingNumber });
      return;
    }
    this.fencingNumber = Math.max(this.fencingNumber, order.fencingNumber);
    if (order.kind === 'set-role') this.wantedRole = order.role;
    if (order.kind === 'load-target') this.addTarget(order.target).catch(() => undefined);
    if (order.kind === 'unload-target') {
      this.targets = this.targets.filter((target) => !isSameTarget(target, order.target));
    }
    this.startSteps();
    sendJson(response, 200, { kind: 'accepted' });
  }

  private async addTarget(target: ModelTarget): Promise<void> {
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
    sendJson(response, 409, { error: isLoaded ? `no ${role} role` : 'target is not loaded' });
    return true;
  }

  private countFreePieces(): number {
    return this.settings.totalPieces - this.prefills.usedPieces - this.streams.usedPieces;
  }

  private takeReport(): void {
    this.reports.push({
      role: this.role,
      queuedPrefillTokens: this.prefills.queuedTokens,
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

  private startSteps(): void {
    if (this.stepTimer !== undefined) return;
    this.steppedAt = performance.now();
    this.stepTimer = setInterval(() => this.step(), STEP_INTERVAL_MS);
  }

  private step(): void {
    const now = performance.now();
    const elapsedMs = Math.min(now - this.steppedAt, MAX_ELAPSED_MS);
    this.steppedAt = now;
    const { slowness, crashFingerprint } = this.faults;
    this.prefills.step(elapsedMs / slowness);
    this.link.step(elapsedMs);
    this.streams.step(elapsedMs / slowness, crashFingerprint);
    const isDrained = this.role === 'prefill' ? this.prefills.isIdle : this.streams.size === 0;
    if (isDrained) this.role = this.wantedRole;
    const isIdle = this.prefills.isIdle && this.streams.size === 0 && this.link.isIdle;
    if (!isIdle || this.role !== this.wantedRole) return;
    clearInterval(this.stepTimer);
    this.stepTimer = undefined;
  }
}
