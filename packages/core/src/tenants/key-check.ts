/** Decides whether a request may be served, and for which tenant, by the key that it carries. */

import { findKeyHolder, type DigestText } from './bearer-token.js';
import type { Tenant, TenantDirectory } from './tenant-types.js';

/** What a request shows of its caller, and whether its route needs a key. */
export type KeyCheckRequest = {
  /** Value of its `Authorization` header. */
  readonly authorization: string | undefined;
  readonly isPublic: boolean;
};

/** Outcome of the check; the reasons of refusals are names of result codes. */
export type KeyCheck =
  | { readonly kind: 'admitted'; readonly tenant: Tenant | undefined }
  | { readonly kind: 'refused'; readonly reason: 'missing-key' | 'wrong-key' };

/**
 * Checks the key of a request. Without a directory no request needs a key; on a public route a key
 * that nobody holds counts as none.
 */
export function checkKey(
  directory: TenantDirectory | undefined,
  { authorization, isPublic }: KeyCheckRequest,
  digest: DigestText,
): KeyCheck {
  if (directory === undefined) return { kind: 'admitted', tenant: undefined };
  const tenant =
    authorization === undefined ? undefined : findKeyHolder(directory.byKey, authorization, digest);
  if (tenant !== undefined || isPublic) return { kind: 'admitted', tenant };
  return {
    kind: 'refused',
    reason: authorization === undefined ? 'missing-key' : 'wrong-key',
  };
}

/** Returns the rank of a request in queues: the priority of its tenant, else that of its route. */
export function findRank(tenant: Tenant | undefined, routePriority: number): number {
  return tenant?.priority ?? routePriority;
}
