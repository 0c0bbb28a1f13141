/** Public face of the router for adapters. */

export type {
  EngineLimits,
  EngineStage,
  Route,
  RoutingConfiguration,
  UpstreamRecord,
} from '@tarragonspool/core';
export { startGateway, type Gateway } from './gateway/gateway.js';
export type * from './gateway/ports.js';
