/** Builds the directory of a configuration's tenants from its entries. */

import { isSendableKey, type DigestText } from './bearer-token.js';
import type { KeyDigest, Tenant, TenantDirectory, TenantName } from './tenant-types.js';

/** A tenant with its keys, as the configuration names them. */
export type TenantEntry = { readonly tenant: Tenant; readonly keys: readonly string[] };

/** Why an entry or one of its keys is not in the directory; the reason contains no keys. */
export type TenantFault = {
  /** Position among the entries. */
  readonly entry: number;
  readonly reason: string;
};

/** A directory, and why parts of the entries are not in it; the reasons contain no keys. */
export type BuiltDirectory = {
  readonly directory: TenantDirectory;
  readonly faults: readonly string[];
  /** The same faults with their entries. */
  readonly entryFaults: readonly TenantFault[];
};

/**
 * Builds a directory. Of two tenants with the same name or the same key the first one has it; keys
 * that no caller can send are left out.
 */
export function buildTenantDirectory(
  entries: readonly TenantEntry[],
  digest: DigestText,
): BuiltDirectory {
  const tenants = new Map<TenantName, Tenant>();
  const byKey = new Map<KeyDigest, Tenant>();
  const entryFaults: TenantFault[] = [];
  for (const [entry, { tenant, keys }] of entries.entries()) {
    const { name } = tenant;
    const addFault = (detail: string): void => {
      entryFaults.push({ entry, reason: `tenant ${name}: ${detail}` });
    };
    if (tenants.has(name)) {
      addFault('an earlier entry has the same name; this one is not used');
      continue;
    }
    tenants.set(name, tenant);
    for (const [index, key] of keys.entries()) {
      if (!isSendableKey(key)) {
        addFault(`key ${index + 1} cannot be sent as a bearer token`);
        continue;
      }
      const keyDigest = digest(key);
      const holder = byKey.get(keyDigest);
      if (holder === undefined) byKey.set(keyDigest, tenant);
      else if (holder !== tenant) {
        addFault(`key ${index + 1} is a key of tenant ${holder.name}`);
      }
    }
  }
  const faults = entryFaults.map(({ reason }) => reason);
  return { directory: { tenants, byKey }, faults, entryFaults };
}
