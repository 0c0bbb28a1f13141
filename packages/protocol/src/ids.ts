/** Branded identifiers shared by every package. */

type Brand<T, Name extends string> = T & { readonly brand: Name };

/** Identifies one request across all of its attempts. */
export type RequestId = Brand<string, 'RequestId'>;
/** Identifies one attempt to run a request; a retry gets a new id. */
export type AttemptId = Brand<string, 'AttemptId'>;
/** Names one entry VM: a VM that runs the router and receives callers' requests. */
export type VmId = Brand<string, 'VmId'>;
/** Numbers the starts of the daemon on a VM, or of an upstream; each restart has a greater number. */
export type Incarnation = Brand<number, 'Incarnation'>;
/** Identifies the team that sends a request. */
export type CallerId = Brand<string, 'CallerId'>;
/** Names one engine or one server of a plain service. */
export type UpstreamId = Brand<string, 'UpstreamId'>;
/** Names a model service or a plain service, which has no model. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** Names a model. */
export type ModelName = Brand<string, 'ModelName'>;
/** Names a data centre. */
export type DataCentre = Brand<string, 'DataCentre'>;
/** Number of an accepted revision of the rule file; greater is newer. */
export type RuleRevision = Brand<number, 'RuleRevision'>;
/** Identifies one operator's edit of the rule file. */
export type EditId = Brand<string, 'EditId'>;
/** Number of a lease holder; a greater number belongs to a newer holder. */
export type FencingNumber = Brand<number, 'FencingNumber'>;
/** Key chosen by the caller for a call that must run at most once. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
/** Identifies the slots granted to one attempt. */
export type ReservationId = Brand<string, 'ReservationId'>;
/** Identifies the engines of one model service in a region, or only in one of its data centres. */
export type ShardId = Brand<string, 'ShardId'>;
/** Cryptographic digest of a request's content, in hexadecimal. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
/** Digest of the host and the service within which a quarantine holds. */
export type QuarantineScope = Brand<string, 'QuarantineScope'>;
/** Hash of one prompt prefix that ends on a block boundary. */
export type PrefixHash = Brand<string, 'PrefixHash'>;
/** Identifies the content of one part of a prompt; prompts share parts. */
export type PromptPartId = Brand<string, 'PromptPartId'>;
/** Version of a server's software, as the server names it. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
/** Version of an engine's weights, as the engine names it. */
export type WeightVersion = Brand<number, 'WeightVersion'>;
/** Identifies a stream over all attempts of its caller: the request that brought its first event. */
export type StreamId = Brand<string, 'StreamId'>;
/** Digest of what stays the same when a caller retries a stream. */
export type ContentKey = Brand<string, 'ContentKey'>;
