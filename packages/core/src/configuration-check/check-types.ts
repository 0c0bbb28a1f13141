/** What the check of a configuration works on, and what it finds. No text of it contains a key. */

import type { ServiceName } from '@tarragonspool/protocol';
import type { RoutingConfiguration } from '../routing/index.js';
import type { TenantName } from '../tenants/index.js';

/** A tenant as its entry says it; an entry that is not used has one too. */
export type WrittenTenant = {
  /** Path of the entry, such as `tenants.3`. */
  readonly path: string;
  readonly name: TenantName;
  /** 0 if the entry names none. */
  readonly ratePerSecond: number;
  /** Undefined if the entry names none. */
  readonly burst: number | undefined;
};

/** Why the decoder left out an entry or a part of it. */
export type WrittenFault = { readonly path: string; readonly reason: string };

/** What the decoder read that the decoded configuration does not hold. */
export type WrittenConfiguration = {
  /** Names of the services in their order, each as often as it is written. */
  readonly services: readonly ServiceName[];
  /** The entries of tenants that are valid. */
  readonly tenants: readonly WrittenTenant[];
  readonly faults: readonly WrittenFault[];
};

/** A configuration as the daemon uses it, and as it is written. */
export type ConfigurationFile = {
  readonly value: RoutingConfiguration;
  readonly written: WrittenConfiguration;
};

/** One thing that is wrong with a configuration, or probably not meant. */
export type Finding = {
  /** Path of the entry, such as `routes.3`. */
  readonly path: string;
  readonly severity: 'error' | 'warning';
  readonly message: string;
};

/** What the daemon does differently with another configuration. */
export type Difference = {
  /** Path of the entry; that in the configuration in force if the entry is removed. */
  readonly path: string;
  readonly kind: 'added' | 'removed' | 'changed';
  readonly message: string;
};
