/** Merges the burn counts of several VMs. What a VM does not cover is missing, not zero. */

import {
  BURN_ALARM_RATES,
  BURN_WINDOWS,
  measureBurnRate,
  type BurnObjective,
  type BurnWindowName,
} from '@tarragonspool/core';
import * as z from 'zod';

const countsSchema = z.object({ met: z.number(), total: z.number() });

/** Answer of `GET /burn`. */
export const burnSchema = z.object({
  vmId: z.string(),
  startedAt: z.number(),
  now: z.number(),
  targetPercent: z.number(),
  maxSeries: z.number(),
  series: z.array(
    z.object({
      callerId: z.string(),
      service: z.string(),
      windows: z.record(z.string(), z.object({ firstToken: countsSchema, answer: countsSchema })),
      hours: z.array(z.array(z.number())),
    }),
  ),
});

/** Counts of one VM. */
export type BurnAnswer = z.infer<typeof burnSchema>;

/** A window of one objective, over all VMs. */
export type BurnWindow = {
  readonly met: number;
  readonly total: number;
  /** Missing where no answer was counted. */
  readonly rate: number | undefined;
};

/** One hour of one objective, over all VMs. */
export type BurnHour = { readonly startAt: number; readonly rate: number };

/** One objective of a caller and service. */
export type BurnRow = {
  readonly callerId: string;
  readonly service: string;
  readonly objective: BurnObjective;
  readonly windows: Readonly<Record<BurnWindowName, BurnWindow>>;
  readonly hours: readonly BurnHour[];
  readonly alarms: readonly ('fast' | 'slow')[];
};

/** A VM of the deployment and since when its counts reach back; undefined if it did not answer. */
export type BurnVm = { readonly name: string; readonly startedAt: number | undefined };

/** The whole report. */
export type BurnReport = {
  readonly now: number;
  readonly targetPercent: number;
  readonly vms: readonly BurnVm[];
  /** Share of each window that the counts cover, from 0 to 1. */
  readonly coverage: Readonly<Record<BurnWindowName, number>>;
  readonly rows: readonly BurnRow[];
};

const HOUR_MS = 3_600_000;
const PERCENT = 100;

type Merged = {
  readonly callerId: string;
  readonly service: string;
  readonly objective: BurnObjective;
  readonly windows: Map<BurnWindowName, { met: number; total: number }>;
  readonly hours: Map<number, { met: number; total: number }>;
};

function addCounts<Key>(
  counts: Map<Key, { met: number; total: number }>,
  key: Key,
  met: number,
  total: number,
): void {
  const sum = counts.get(key) ?? { met: 0, total: 0 };
  sum.met += met;
  sum.total += total;
  counts.set(key, sum);
}

function findMerged(
  merged: Map<string, Merged>,
  callerId: string,
  service: string,
  objective: BurnObjective,
): Merged {
  const key = JSON.stringify([callerId, service, objective]);
  const known = merged.get(key);
  if (known !== undefined) return known;
  const made = { callerId, service, objective, windows: new Map(), hours: new Map() };
  merged.set(key, made);
  return made;
}

function mergeSeries(merged: Map<string, Merged>, series: BurnAnswer['series'][number]): void {
  const { callerId, service } = series;
  const firstToken = findMerged(merged, callerId, service, 'first-token');
  const answer = findMerged(merged, callerId, service, 'answer');
  for (const { name } of BURN_WINDOWS) {
    const window = series.windows[name];
    if (window === undefined) continue;
    addCounts(firstToken.windows, name, window.firstToken.met, window.firstToken.total);
    addCounts(answer.windows, name, window.answer.met, window.answer.total);
  }
  for (const [startAt = 0, firstMet = 0, firstTotal = 0, met = 0, total = 0] of series.hours) {
    addCounts(firstToken.hours, startAt, firstMet, firstTotal);
    addCounts(answer.hours, startAt, met, total);
  }
}

function findAlarms(windows: BurnRow['windows']): ('fast' | 'slow')[] {
  const alarms: ('fast' | 'slow')[] = [];
  for (const speed of ['fast', 'slow'] as const) {
    const rates = BURN_WINDOWS.filter((window) => window.speed === speed).map(
      ({ name }) => windows[name].rate ?? 0,
    );
    if (rates.every((rate) => rate >= BURN_ALARM_RATES[speed])) alarms.push(speed);
  }
  return alarms;
}

function buildRow(merged: Merged, targetShare: number): BurnRow {
  const { callerId, service, objective } = merged;
  const windows: Partial<Record<BurnWindowName, BurnWindow>> = {};
  for (const { name } of BURN_WINDOWS) {
    const counts = merged.windows.get(name) ?? { met: 0, total: 0 };
    windows[name] = { ...counts, rate: measureBurnRate(counts, targetShare) };
  }
  const hours: BurnHour[] = [];
  for (const [startAt, counts] of [...merged.hours].sort(([one], [other]) => one - other)) {
    const rate = measureBurnRate(counts, targetShare);
    if (rate !== undefined) hours.push({ startAt, rate });
  }
  const all = windows as BurnRow['windows'];
  return { callerId, service, objective, windows: all, hours, alarms: findAlarms(all) };
}

function countCoverage(
  answers: readonly BurnAnswer[],
  vms: number,
): Record<BurnWindowName, number> {
  const coverage: Partial<Record<BurnWindowName, number>> = {};
  for (const { name, windowMs } of BURN_WINDOWS) {
    let covered = 0;
    for (const { now, startedAt } of answers) covered += Math.min(windowMs, now - startedAt);
    coverage[name] = covered / (windowMs * Math.max(1, vms));
  }
  return coverage as Record<BurnWindowName, number>;
}

function compareRows(one: BurnRow, other: BurnRow): number {
  if (one.alarms.length !== other.alarms.length) return other.alarms.length - one.alarms.length;
  const difference = (other.windows['3d'].rate ?? 0) - (one.windows['3d'].rate ?? 0);
  if (difference !== 0) return difference;
  const names = [one, other].map((row) => `${row.callerId} ${row.service} ${row.objective}`);
  return (names[0] ?? '') < (names[1] ?? '') ? -1 : 1;
}

/** Merges the answers; `missing` names the VMs that gave none. */
export function mergeBurn(answers: readonly BurnAnswer[], missing: readonly string[]): BurnReport {
  const targetPercent = Math.max(0, ...answers.map((answer) => answer.targetPercent));
  const merged = new Map<string, Merged>();
  for (const answer of answers) {
    for (const series of answer.series) mergeSeries(merged, series);
  }
  const rows: BurnRow[] = [];
  for (const entry of merged.values()) {
    const row = buildRow(entry, targetPercent / PERCENT);
    if (row.windows['3d'].total > 0) rows.push(row);
  }
  const vms = [
    ...answers.map(({ vmId, startedAt }) => ({ name: vmId, startedAt })),
    ...missing.map((name) => ({ name, startedAt: undefined })),
  ];
  const now = Math.max(0, ...answers.map((answer) => answer.now));
  const coverage = countCoverage(answers, vms.length);
  return { now, targetPercent, vms, coverage, rows: rows.sort(compareRows) };
}

/** Share of VMs whose counts cover the hour that starts at `startAt`, from 0 to 1. */
export function countHourCoverage(report: BurnReport, startAt: number): number {
  let covered = 0;
  for (const { startedAt } of report.vms) {
    if (startedAt === undefined) continue;
    const end = Math.min(startAt + HOUR_MS, report.now);
    const share = end > startAt ? (end - Math.max(startAt, startedAt)) / (end - startAt) : 1;
    covered += Math.min(1, Math.max(0, share));
  }
  return covered / Math.max(1, report.vms.length);
}
