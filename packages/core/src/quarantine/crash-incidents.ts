/**
 * Collects the runs that broke off at one server until it is known whether the server crashed. Returns actions
 * only. Times are milliseconds on the caller's clock.
 */

import type { Fingerprint, PromptPartId, UpstreamId } from '@tarragonspool/protocol';

/** A run that broke off in a way that a crash of its server would explain. */
export type BrokenRun = {
  readonly upstreamId: UpstreamId;
  /** Identifies the run of the server's process, the same at all VMs; absent if that is not known. */
  readonly crashId?: string | undefined;
  readonly fingerprint: Fingerprint;
  /** Whether the server had already sent tokens for this content. */
  readonly hasTokens: boolean;
  /** Parts that its prompt shares with others. */
  readonly promptParts?: readonly PromptPartId[];
};

/** A server that is to be probed, and the run of its process that is asked about. */
export type ProbedServer = Pick<BrokenRun, 'upstreamId'> & { readonly crashId: string | undefined };

/** A content that ran on a server when it broke off. */
type BrokenContent = {
  readonly hasTokens: boolean;
  readonly promptParts: readonly PromptPartId[];
};

/** Failed runs of one server that a crash may explain. */
type ServerIncident = {
  readonly crashId: string | undefined;
  readonly beganAt: number;
  readonly contents: Map<Fingerprint, BrokenContent>;
  lastBrokenAt: number;
  probeBeganAt: number;
  isProbing: boolean;
  isAlive: boolean | undefined;
};

/** What was last told of the crash of a server. */
type CrashReport = { readonly at: number; readonly crashId: string };

/** Incidents that one VM judges. */
export type CrashIncidents = {
  readonly open: Map<UpstreamId, ServerIncident>;
  /** Crashes that peers or the table told of, by server. */
  readonly reports: Map<UpstreamId, CrashReport>;
};

/** A crash that has been judged. */
export type JudgedCrash = {
  readonly upstreamId: UpstreamId;
  readonly crashId: string;
  /** Contents that may have caused it. */
  readonly blamed: readonly Fingerprint[];
  /** Shared parts of the prompts that the server had only begun. */
  readonly prompts: readonly (readonly PromptPartId[])[];
};

const DECISION_DELAY_MS = 300;
/** A process that ends takes connections for a while; a probe within this time of a broken run proves no life. */
const ENDING_MS = 150;
/** Where runs break off all the time, an incident is judged by a probe at this time. */
const MAX_PROBING_MS = 1_000;
/**
 * If the server had sent tokens for every content of an incident, how long to wait for a peer to
 * report the content that caused the crash.
 */
const PEER_BLAME_WAIT_MS = 400;
const REPORT_TTL_MS = 5_000;

/** Makes the state of a VM that knows of no crash. */
export function makeCrashIncidents(): CrashIncidents {
  return { open: new Map(), reports: new Map() };
}

/** Adds a run that broke off; returns whether the server is to be probed. */
export function addBrokenRun(
  { open }: CrashIncidents,
  { upstreamId, crashId, fingerprint, hasTokens, promptParts = [] }: BrokenRun,
  now: number,
): boolean {
  const known = open.get(upstreamId);
  if (known !== undefined) {
    known.contents.set(fingerprint, { hasTokens, promptParts });
    known.lastBrokenAt = now;
    if (known.isAlive === true) known.isAlive = undefined;
    return false;
  }
  open.set(upstreamId, {
    crashId,
    beganAt: now,
    contents: new Map([[fingerprint, { hasTokens, promptParts }]]),
    lastBrokenAt: now,
    probeBeganAt: now,
    isProbing: true,
    isAlive: undefined,
  });
  return true;
}

/** Finds from when on a probe that is answered shows that the server did not crash. */
function getLifeProvenAt({ beganAt, lastBrokenAt }: ServerIncident): number {
  return Math.min(lastBrokenAt + ENDING_MS, beganAt + MAX_PROBING_MS);
}

/** Records whether a server took a connection. */
export function recordProbe(
  { open }: CrashIncidents,
  upstreamId: UpstreamId,
  isAlive: boolean,
): void {
  const incident = open.get(upstreamId);
  if (incident === undefined) return;
  incident.isProbing = false;
  if (!isAlive) incident.isAlive = false;
  else if (incident.isAlive === undefined) {
    const isProven = incident.probeBeganAt >= getLifeProvenAt(incident);
    if (isProven) incident.isAlive = true;
  }
}

/** Begins the probes that are due, and lists their servers. */
export function beginDueProbes({ open }: CrashIncidents, now: number): ProbedServer[] {
  const probed: ProbedServer[] = [];
  for (const [upstreamId, incident] of open) {
    if (incident.isProbing || incident.isAlive !== undefined) continue;
    if (now < getLifeProvenAt(incident)) continue;
    incident.isProbing = true;
    incident.probeBeganAt = now;
    probed.push({ upstreamId, crashId: incident.crashId });
  }
  return probed;
}

/** Records that a peer or the table told of the crash of a server. */
export function recordCrashReport(
  { reports }: CrashIncidents,
  upstreamId: UpstreamId,
  crashId: string,
  now: number,
): void {
  reports.set(upstreamId, { at: now, crashId });
}

function hasContentWithoutTokens({ contents }: ServerIncident): boolean {
  for (const { hasTokens } of contents.values()) {
    if (!hasTokens) return true;
  }
  return false;
}

function getDecideAt({ beganAt }: ServerIncident): number {
  return beganAt + DECISION_DELAY_MS;
}

/** Whether a crash is confirmed and a peer may still name the content that caused it. */
function isAwaitingPeers(incident: ServerIncident, now: number): boolean {
  const isDue = now >= getDecideAt(incident);
  return incident.isAlive === false && !hasContentWithoutTokens(incident) && isDue;
}

/** Counts the incidents in which a content is. */
export function countIncidents({ open }: CrashIncidents, fingerprint: Fingerprint): number {
  let count = 0;
  for (const { contents } of open.values()) {
    if (contents.has(fingerprint)) count += 1;
  }
  return count;
}

/**
 * Finds when to check again whether a content may run; undefined if no incident forbids it now. A
 * content in a single incident that only awaits reports of peers may run; one in two incidents may
 * not.
 */
export function findRecheckTime(
  { open }: CrashIncidents,
  fingerprint: Fingerprint,
  now: number,
): number | undefined {
  let count = 0;
  let isOpen = false;
  let until = now;
  for (const incident of open.values()) {
    if (!incident.contents.has(fingerprint)) continue;
    count += 1;
    isOpen ||= !isAwaitingPeers(incident, now);
    until = Math.max(until, getDecideAt(incident));
  }
  return isOpen || count > 1 ? until : undefined;
}

function isReported(report: CrashReport | undefined, now: number): report is CrashReport {
  return report !== undefined && now < report.at + REPORT_TTL_MS;
}

/** Finds the id of the latest crash of a server that this VM knows of; a new one if it knows of none. */
export function findCrashId(
  { open, reports }: CrashIncidents,
  upstreamId: UpstreamId,
  now: number,
): string {
  const known = open.get(upstreamId)?.crashId;
  if (known !== undefined) return known;
  const report = reports.get(upstreamId);
  return isReported(report, now) ? report.crashId : `${upstreamId}/${now}`;
}

/**
 * Lists the contents to blame for a crash: those that had no tokens yet. If there are none and no peer
 * named one, all that ran on the server.
 */
function listBlamed(incident: ServerIncident, hasPeerBlame: boolean): Fingerprint[] {
  const { contents } = incident;
  if (!hasContentWithoutTokens(incident)) return hasPeerBlame ? [] : [...contents.keys()];
  const blamed: Fingerprint[] = [];
  for (const [fingerprint, { hasTokens }] of contents) if (!hasTokens) blamed.push(fingerprint);
  return blamed;
}

function listPrompts({ contents }: ServerIncident): (readonly PromptPartId[])[] {
  const prompts: (readonly PromptPartId[])[] = [];
  for (const { hasTokens, promptParts } of contents.values()) {
    if (!hasTokens && promptParts.length > 0) prompts.push(promptParts);
  }
  return prompts;
}

/** A crash that several VMs saw has one id: that of the VM which told of it, where it has none of its own. */
function chooseCrashId(
  upstreamId: UpstreamId,
  { crashId, beganAt }: ServerIncident,
  report: CrashReport | undefined,
): string {
  if (crashId !== undefined) return crashId;
  return report !== undefined && report.at > beganAt ? report.crashId : `${upstreamId}/${beganAt}`;
}

/** Takes the incidents whose time has come, and returns those that were crashes. */
export function takeCrashes({ open, reports }: CrashIncidents, now: number): JudgedCrash[] {
  const crashes: JudgedCrash[] = [];
  for (const [upstreamId, incident] of [...open]) {
    const decideAt = getDecideAt(incident);
    if (now < decideAt || incident.isAlive === undefined) continue;
    const report = reports.get(upstreamId);
    const hasPeerBlame = isReported(report, now);
    const isWaiting = isAwaitingPeers(incident, now) && now < decideAt + PEER_BLAME_WAIT_MS;
    if (isWaiting && !hasPeerBlame) continue;
    open.delete(upstreamId);
    if (incident.isAlive) continue;
    const crashId = chooseCrashId(upstreamId, incident, report);
    const blamed = listBlamed(incident, hasPeerBlame);
    crashes.push({ upstreamId, crashId, blamed, prompts: listPrompts(incident) });
  }
  return crashes;
}

/** Forgets old reports. */
export function sweepCrashReports({ reports }: CrashIncidents, now: number): void {
  for (const [upstreamId, { at }] of reports) {
    if (now >= at + REPORT_TTL_MS) reports.delete(upstreamId);
  }
}
