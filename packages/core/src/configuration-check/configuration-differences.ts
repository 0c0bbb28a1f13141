/** Compares a configuration with the one in force. The order of entries is no difference. */

import type { CallerLimits, Route, ServiceDefinition } from '../routing/index.js';
import type { KeyDigest, TenantName } from '../tenants/index.js';
import type { Difference, ConfigurationFile } from './check-types.js';

/** The fields of an entry as text, by their names. */
type ShownFields = Readonly<Record<string, string>>;

/** An entry of a list: what identifies it, and what can change. */
type Entry = {
  readonly path: string;
  /** What it is called in messages. */
  readonly title: string;
  readonly fields: ShownFields;
  /** Digests of a tenant's keys; they are counted, never shown. */
  readonly keys?: ReadonlySet<KeyDigest>;
};

/** Entries by what identifies them. */
type Entries = ReadonlyMap<string, Entry>;

const NONE = 'none';

function renderValue(value: string | number | boolean | undefined): string {
  return value === undefined ? NONE : String(value);
}

function renderFields(
  fields: Readonly<Record<string, string | number | boolean | undefined>>,
): ShownFields {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [name, renderValue(value)]),
  );
}

/** Renders the fields of a route under the names that operators write, as far as they are the same. */
function renderRoute(route: Route): ShownFields {
  const { name, targets, isResumable, isPublic, ...others } = route;
  const services = targets.map(({ service, weight }) => `${service} (${weight})`).join(', ');
  return renderFields({
    ...others,
    services: services === '' ? undefined : services,
    resumable: isResumable,
    public: isPublic,
  });
}

function listRoutes({ value }: ConfigurationFile): Entries {
  const entries = new Map<string, Entry>();
  const counts = new Map<string, number>();
  for (const [index, route] of value.routes.entries()) {
    const { name } = route;
    // Several routes of one name are compared in their order.
    const count = counts.get(name) ?? 0;
    counts.set(name, count + 1);
    const entry = { path: `routes.${index}`, title: `route "${name}"`, fields: renderRoute(route) };
    entries.set(JSON.stringify([name, count]), entry);
  }
  return entries;
}

function renderService({ engine }: ServiceDefinition): ShownFields {
  return engine === undefined ? { engine: NONE } : renderFields(engine);
}

function listServices({ value, written }: ConfigurationFile): Entries {
  const entries = new Map<string, Entry>();
  for (const [name, service] of value.services) {
    const path = `services.${written.services.lastIndexOf(name)}`;
    entries.set(name, { path, title: `service "${name}"`, fields: renderService(service) });
  }
  return entries;
}

function listKeys({ value }: ConfigurationFile): Map<TenantName, Set<KeyDigest>> {
  const keys = new Map<TenantName, Set<KeyDigest>>();
  for (const [digest, { name }] of value.tenants?.byKey ?? []) {
    const held = keys.get(name) ?? new Set();
    keys.set(name, held.add(digest));
  }
  return keys;
}

function listTenants(configuration: ConfigurationFile): Entries {
  const { value, written } = configuration;
  const allKeys = listKeys(configuration);
  const entries = new Map<string, Entry>();
  for (const [name, { priority, quota }] of value.tenants?.tenants ?? []) {
    const path = written.tenants.find((entry) => entry.name === name)?.path ?? 'tenants';
    const fields = renderFields({
      priority,
      ratePerS: quota?.ratePerSecond,
      burst: quota?.burst,
      unit: quota?.unit,
      plainTokens: quota?.plainTokens,
    });
    const keys = allKeys.get(name) ?? new Set<KeyDigest>();
    entries.set(name, { path, title: `tenant "${name}"`, fields, keys });
  }
  return entries;
}

function countMissing<T>(values: ReadonlySet<T>, others: ReadonlySet<T>): number {
  let count = 0;
  for (const value of values) if (!others.has(value)) count += 1;
  return count;
}

function renderKeyCount(count: number): string {
  return count === 1 ? '1 key' : `${count} keys`;
}

/** Lists how fields changed: `timeoutMs 4000 -> 2000`. */
function listChanges(before: ShownFields, after: ShownFields): string[] {
  const changes: string[] = [];
  for (const name of new Set([...Object.keys(before), ...Object.keys(after)])) {
    const [old = NONE, next = NONE] = [before[name], after[name]];
    if (old !== next) changes.push(`${name} ${old} -> ${next}`);
  }
  return changes;
}

function listKeyChanges({ keys: before }: Entry, { keys: after }: Entry): string[] {
  if (before === undefined || after === undefined) return [];
  const [added, removed] = [countMissing(after, before), countMissing(before, after)];
  const changes: string[] = [];
  if (added > 0) changes.push(`${renderKeyCount(added)} added`);
  if (removed > 0) changes.push(`${renderKeyCount(removed)} removed`);
  return changes;
}

function renderWhole({ title, keys }: Entry, kind: 'added' | 'removed'): string {
  return `${title} ${kind}${keys === undefined ? '' : ` with ${renderKeyCount(keys.size)}`}`;
}

function compareEntries(before: Entries, after: Entries): Difference[] {
  const differences: Difference[] = [];
  for (const [id, entry] of after) {
    const { path, title } = entry;
    const known = before.get(id);
    if (known === undefined) {
      differences.push({ path, kind: 'added', message: renderWhole(entry, 'added') });
      continue;
    }
    const changes = [...listChanges(known.fields, entry.fields), ...listKeyChanges(known, entry)];
    if (changes.length === 0) continue;
    differences.push({ path, kind: 'changed', message: `${title}: ${changes.join(', ')}` });
  }
  for (const [id, entry] of before) {
    if (after.has(id)) continue;
    const message = renderWhole(entry, 'removed');
    differences.push({ path: entry.path, kind: 'removed', message });
  }
  return differences;
}

function compareLimits(before: CallerLimits, after: CallerLimits): Difference[] {
  const changes = listChanges(renderFields(before), renderFields(after));
  if (changes.length === 0) return [];
  return [{ path: 'limits', kind: 'changed', message: `limits: ${changes.join(', ')}` }];
}

/** Compares whether there is a list of tenants; requests need keys with one, also if it is empty. */
function compareTenantLists(before: ConfigurationFile, after: ConfigurationFile): Difference[] {
  const [hadTenants, hasTenants] = [before, after].map(({ value }) => value.tenants !== undefined);
  if (hadTenants === hasTenants) return [];
  if (hasTenants) {
    const message = 'list of tenants added: requests need a key on routes that are not public';
    return [{ path: 'tenants', kind: 'added', message }];
  }
  const message = 'list of tenants removed: requests need no key';
  return [{ path: 'tenants', kind: 'removed', message }];
}

/** Compares a configuration with the one in force. */
export function compareConfigurations(
  inForce: ConfigurationFile,
  next: ConfigurationFile,
): Difference[] {
  return [
    ...compareEntries(listRoutes(inForce), listRoutes(next)),
    ...compareEntries(listServices(inForce), listServices(next)),
    ...compareLimits(inForce.value.limits, next.value.limits),
    ...compareTenantLists(inForce, next),
    ...compareEntries(listTenants(inForce), listTenants(next)),
  ];
}
