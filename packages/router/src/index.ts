/** Public API of the router for platform adapters. */

export { buildTenantDirectory, makeByteCollector, UNKNOWN_INCARNATION } from '@tarragonspool/core';
export type {
  ByteCollector,
  EngineLimits,
  EngineStage,
  Route,
  RoutingConfiguration,
  Tenant,
  TenantDirectory,
  TenantEntry,
  TenantName,
  TenantQuota,
  UpstreamRecord,
  WrittenConfiguration,
  WrittenFault,
  WrittenTenant,
} from '@tarragonspool/core';
export { startGateway, type Gateway } from './gateway/gateway.js';
export type * from './gateway/ports.js';
export { digestLongId } from './gateway/short-id.js';
export { followFraming } from './http/framing-limit.js';
export { closeByReset } from './http/broken-answers.js';
export { isHeaderToken, parseAddress, type HostAndPort } from './http/parse-address.js';
export { findExcess } from './http/size-limit.js';
export { digestKey } from './tenants/key-digest.js';
export { parseJson } from './json/parse-json.js';
export { parseRow, refuseRow, renderIssue, type ParsedRow } from './json/parse-row.js';
