/** Finds the route of a request and chooses the service that serves it. */

import type { ServiceName } from '@tarragonspool/protocol';
import type { Route, RoutingConfiguration } from './routing-types.js';

/** Routes by host, those with the longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly Route[]>;

/** Builds the route table of a configuration. */
export function buildRouteTable(configuration: RoutingConfiguration): RouteTable {
  const table = new Map<string, Route[]>();
  for (const route of configuration.routes) {
    const routes = table.get(route.host) ?? [];
    routes.push(route);
    table.set(route.host, routes);
  }
  for (const routes of table.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return table;
}

/** Finds the route with the longest prefix of the path. */
export function findRoute(table: RouteTable, host: string, path: string): Route | undefined {
  for (const route of table.get(host) ?? []) {
    if (path.startsWith(route.pathPrefix)) return route;
  }
  return undefined;
}

/** Chooses a service by weight; `fraction` is a random number in [0, 1). */
export function chooseService(route: Route, fraction: number): ServiceName | undefined {
  let total = 0;
  for (const target of route.targets) total += target.weight;
  let left = fraction * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets[0]?.service;
}
