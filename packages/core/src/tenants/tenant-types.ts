/** Tenants of the operator's configuration: who may send requests, at what rank and rate. */

/** Name of a tenant; servers get it with each request of the tenant. */
export type TenantName = string & { readonly brand: 'TenantName' };

/** Limit on what a tenant sends, over all VMs together. */
export type TenantQuota = {
  /** Cost units that the tenant may use per second. */
  readonly ratePerSecond: number;
  /** Cost units that it may use at once on top of the rate. */
  readonly burst: number;
  /** What one request costs: one unit, or its prompt and output tokens. */
  readonly unit: 'request' | 'token';
  /** Cost of a request that does not say its tokens, where the unit is tokens. */
  readonly plainTokens: number;
};

/** One tenant. */
export type Tenant = {
  readonly name: TenantName;
  /** Rank of its requests, which goes before that of the route; undefined to use the route's. */
  readonly priority: number | undefined;
  /** Undefined if the tenant is not limited. */
  readonly quota: TenantQuota | undefined;
};

/** SHA-256 digest of a key; keys themselves are not kept. */
export type KeyDigest = string & { readonly brand: 'KeyDigest' };

/** The tenants of one configuration. */
export type TenantDirectory = {
  readonly tenants: ReadonlyMap<TenantName, Tenant>;
  readonly byKey: ReadonlyMap<KeyDigest, Tenant>;
};
