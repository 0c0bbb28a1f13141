/** Builds and renders what the check of a configuration found. */

import {
  buildUnreadableFinding,
  checkConfiguration,
  compareConfigurations,
  type Difference,
  type Finding,
} from '@tarragonspool/core';
import { formatCell } from '../output/table.js';
import type { DecodedFile } from './configuration-file.js';

/** What the check found; the order is that of the entries. */
export type CheckReport = {
  readonly findings: readonly Finding[];
  /** Undefined if there is nothing to compare with. */
  readonly differences: readonly Difference[] | undefined;
};

const MARKS: Readonly<Record<Difference['kind'], string>> = {
  added: '+',
  removed: '-',
  changed: '~',
};

/** Builds the report of a file and the one in force. */
export function buildCheckReport(file: DecodedFile, inForce: DecodedFile | undefined): CheckReport {
  const known = inForce?.kind === 'usable' ? inForce : undefined;
  const findings: Finding[] = [];
  if (inForce?.kind === 'unusable') {
    const { path, message } = buildUnreadableFinding(inForce.reason);
    findings.push({ path: `in-force.${path}`, severity: 'error', message });
  }
  if (file.kind === 'unusable') findings.push(buildUnreadableFinding(file.reason));
  else findings.push(...checkConfiguration(file, known));
  const isComparable = file.kind === 'usable' && known !== undefined;
  return { findings, differences: isComparable ? compareConfigurations(known, file) : undefined };
}

/** Counts the findings of a severity. */
export function countFindings({ findings }: CheckReport, severity: Finding['severity']): number {
  return findings.filter((finding) => finding.severity === severity).length;
}

function renderCount(count: number, name: string): string {
  return count === 1 ? `1 ${name}` : `${count} ${name}s`;
}

/** Renders a report as lines, with the counts in the last one. */
export function renderCheckReport(report: CheckReport): string {
  const { findings, differences } = report;
  const lines = findings.map(({ severity, path, message }) => `${severity} ${path}: ${message}`);
  for (const { kind, path, message } of differences ?? []) {
    lines.push(`${MARKS[kind]} ${path}: ${message}`);
  }
  const counts = [
    renderCount(countFindings(report, 'error'), 'error'),
    renderCount(countFindings(report, 'warning'), 'warning'),
  ];
  if (differences !== undefined) counts.push(renderCount(differences.length, 'difference'));
  lines.push(counts.join(', '));
  return lines.map((line) => `${formatCell(line)}\n`).join('');
}
