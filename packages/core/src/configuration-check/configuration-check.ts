/**
 * Checks a configuration before it is sent. An error is a mistake, or a part that the daemon does not use; the
 * daemon may still read such a configuration, so no finding says that it cannot.
 */

import type { CallerLimits } from '../routing/index.js';
import type { Finding, ConfigurationFile } from './check-types.js';
import { listRouteFindings } from './route-findings.js';
import { listTenantFindings } from './tenant-findings.js';

/** The path at the start of a decoder's reason. */
const REASON_PATH = /^([a-z]\w*(?:\.\w+)*): (.+)$/su;
const WHOLE_PATH = 'configuration';

/** Builds the finding for a configuration that the decoder refused. */
export function buildUnreadableFinding(reason: string): Finding {
  const [, path = WHOLE_PATH, detail = reason] = REASON_PATH.exec(reason) ?? [];
  return { path, severity: 'error', message: `the daemon cannot read it: ${detail}` };
}

/** Checks that the version comes into force after another one. */
function listVersionFindings(version: number, inForce: number): Finding[] {
  if (version > inForce) return [];
  const message = `is ${version}, not above ${inForce}, so the version in force stays in force`;
  return [{ path: 'version', severity: 'error', message }];
}

function listServiceFindings({ value, written }: ConfigurationFile): Finding[] {
  const findings: Finding[] = [];
  const named = new Set(value.routes.flatMap(({ targets }) => targets.map((one) => one.service)));
  for (const [index, name] of written.services.entries()) {
    const path = `services.${index}`;
    if (written.services.lastIndexOf(name) > index) {
      const message = `is not used, because a later service has the same name, "${name}"`;
      findings.push({ path, severity: 'warning', message });
    } else if (!named.has(name)) {
      const message = `no route leads to service "${name}"`;
      findings.push({ path, severity: 'warning', message });
    }
  }
  return findings;
}

function listLimitFindings({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): Finding[] {
  if (idleTimeoutMs >= headerTimeoutMs) return [];
  const message = `has idleTimeoutMs ${idleTimeoutMs} below headerTimeoutMs ${headerTimeoutMs}`;
  return [{ path: 'limits', severity: 'warning', message }];
}

/** Checks a configuration, against the one in force if that is known. */
export function checkConfiguration(
  configuration: ConfigurationFile,
  inForce: ConfigurationFile | undefined,
): Finding[] {
  const { value } = configuration;
  return [
    ...(inForce === undefined ? [] : listVersionFindings(value.version, inForce.value.version)),
    ...listRouteFindings(value),
    ...listServiceFindings(configuration),
    ...listLimitFindings(value.limits),
    ...listTenantFindings(configuration),
  ];
}
