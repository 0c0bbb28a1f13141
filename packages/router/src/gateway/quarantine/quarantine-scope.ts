/**
 * Where a refusal holds: what crashes the servers of one service is refused to callers of the host that sent it there,
 * and to nobody else. Older versions know contents and parts without a scope.
 */

import { createHash } from 'node:crypto';
import type { RoutingConfiguration } from '@tarragonspool/core';
import type {
  Fingerprint,
  PromptPartId,
  QuarantineScope,
  ServiceName,
} from '@tarragonspool/protocol';

/** The content of a request: what stays the same when a caller sends it again, and where it is sent. */
export type RequestContent = {
  readonly scope: QuarantineScope;
  /** Digest of method, path and body, by which older versions know the content. */
  readonly digest: Fingerprint;
  /** Digest of scope and content. */
  readonly fingerprint: Fingerprint;
};

/** Characters of a scope, six bits each. */
const SCOPE_LENGTH = 16;
/** Separates a scope, which has none, from what it holds. */
const SEPARATOR = '/';

/** Makes the scope of a route's host and a service. */
export function makeScope(host: string, service: ServiceName): QuarantineScope {
  const digest = createHash('sha256').update(`${host}\n${service}`).digest('base64url');
  return digest.slice(0, SCOPE_LENGTH) as QuarantineScope;
}

/** Lists the scopes of a configuration's routes to a service, or to any service if none is named. */
export function listScopes(
  configuration: RoutingConfiguration | undefined,
  service: ServiceName | undefined,
): QuarantineScope[] {
  const scopes = new Set<QuarantineScope>();
  for (const { host, targets } of configuration?.routes ?? []) {
    for (const target of targets) {
      if (service === undefined || target.service === service) {
        scopes.add(makeScope(host, target.service));
      }
    }
  }
  return [...scopes];
}

/** Digests the parts of a request that stay the same when a caller retries it. */
export function digestContent(method: string, path: string, body: Buffer): Fingerprint {
  const hash = createHash('sha256').update(`${method} ${path}\n`).update(body);
  return hash.digest('base64') as Fingerprint;
}

/** Builds the content of a request from its scope and the digest of the rest. */
export function buildContent(scope: QuarantineScope, digest: Fingerprint): RequestContent {
  const hash = createHash('sha256').update(`${scope}\n${digest}`);
  return { scope, digest, fingerprint: hash.digest('base64') as Fingerprint };
}

/** Names a part of a prompt within its scope. */
export function scopePart(scope: QuarantineScope, part: PromptPartId): PromptPartId {
  return `${scope}${SEPARATOR}${part}` as PromptPartId;
}

/** Parts of prompts by the scopes that they were named in, without them. */
export function splitScopes(parts: readonly PromptPartId[]): Map<QuarantineScope, PromptPartId[]> {
  const byScope = new Map<QuarantineScope, PromptPartId[]>();
  for (const scoped of parts) {
    const at = scoped.indexOf(SEPARATOR);
    const scope = scoped.slice(0, at) as QuarantineScope;
    const own = byScope.get(scope) ?? [];
    own.push(scoped.slice(at + 1) as PromptPartId);
    byScope.set(scope, own);
  }
  return byScope;
}

/** Names parts in another scope than the one that they were named in. */
export function moveParts(scope: QuarantineScope, parts: readonly PromptPartId[]): PromptPartId[] {
  return [...splitScopes(parts).values()].flat().map((part) => scopePart(scope, part));
}
