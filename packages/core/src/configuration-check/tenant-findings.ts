/** Checks the tenants of a configuration. */

import { computeCost } from '../quotas/index.js';
import type { Tenant, TenantDirectory } from '../tenants/index.js';
import type { Finding, ConfigurationFile, WrittenTenant } from './check-types.js';

/** Lists what is odd about a tenant that is used. */
function listTenantWarnings(
  { ratePerSecond, burst }: WrittenTenant,
  { name, quota }: Tenant,
  hasKey: boolean,
): string[] {
  const messages: string[] = [];
  if (!hasKey) messages.push(`tenant "${name}" has no key that can be used`);
  if (ratePerSecond === 0 && burst !== undefined && burst > 0) {
    messages.push(`tenant "${name}" has a burst of ${burst} but no rate, so it is not limited`);
  }
  // An entry without a burst states no limit that could contradict the cost.
  if (quota === undefined || burst === undefined) return messages;
  const cost = computeCost(quota, undefined, undefined);
  if (burst < cost) {
    messages.push(
      `tenant "${name}" has a burst of ${burst}, below the cost ${cost} of one request`,
    );
  }
  return messages;
}

/** Checks the list of tenants as a whole. */
function listDirectoryWarnings(
  { value: { routes } }: ConfigurationFile,
  { tenants, byKey }: TenantDirectory,
): string[] {
  const isAllPublic = routes.length > 0 && routes.every(({ isPublic }) => isPublic);
  if (isAllPublic && tenants.size > 0) {
    return ['all routes are public, so no request needs the key of a tenant'];
  }
  if (byKey.size === 0 && routes.some(({ isPublic }) => !isPublic)) {
    return ['no tenant has a key, so all requests on routes that are not public are refused'];
  }
  return [];
}

/** Checks the tenants of a configuration: what is left out, then the list, then each that is used. */
export function listTenantFindings(configuration: ConfigurationFile): Finding[] {
  const { value, written } = configuration;
  const findings: Finding[] = written.faults.map(({ path, reason }) => ({
    path,
    severity: 'error',
    message: reason,
  }));
  const directory = value.tenants;
  if (directory === undefined) return findings;
  for (const message of listDirectoryWarnings(configuration, directory)) {
    findings.push({ path: 'tenants', severity: 'warning', message });
  }
  const holders = new Set(directory.byKey.values());
  const seen = new Set<string>();
  for (const entry of written.tenants) {
    const tenant = directory.tenants.get(entry.name);
    // Of several entries of one name the first is used.
    if (tenant === undefined || seen.has(entry.name)) continue;
    seen.add(entry.name);
    for (const message of listTenantWarnings(entry, tenant, holders.has(tenant))) {
      findings.push({ path: entry.path, severity: 'warning', message });
    }
  }
  return findings;
}
