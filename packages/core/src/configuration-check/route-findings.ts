/** Checks the routes of a configuration. */

import type { Route, RoutingConfiguration } from '../routing/index.js';
import type { Finding } from './check-types.js';

/** Checks what a route says of its services. */
function listTargetFindings(
  path: string,
  route: Route,
  { services }: RoutingConfiguration,
): Finding[] {
  const { targets, usesEngines } = route;
  const [first] = targets;
  if (first === undefined) {
    const message = 'names no service, so its requests are refused as if it were not there';
    return [{ path, severity: 'error', message }];
  }
  const findings: Finding[] = [];
  if (targets.every(({ weight }) => weight === 0)) {
    const message = `has a split whose weights are all 0, so all requests go to service "${first.service}"`;
    findings.push({ path, severity: 'error', message });
  }
  for (const name of new Set(targets.map(({ service }) => service))) {
    const service = services.get(name);
    if (service === undefined) {
      const message = `leads to service "${name}", which is not listed under services and is taken for one without engines`;
      findings.push({ path, severity: 'error', message });
    } else if (usesEngines && service.engine === undefined) {
      const message = `is marked as using engines, but service "${name}" has none`;
      findings.push({ path, severity: 'warning', message });
    } else if (!usesEngines && service.engine !== undefined) {
      const message = `is not marked as using engines, but service "${name}" has engines`;
      findings.push({ path, severity: 'warning', message });
    }
  }
  return findings;
}

/** Lists which limits of a route contradict each other. */
function listContradictions(route: Route): string[] {
  const { kind, timeoutMs, targetLatencyMs, gapTargetMs, maxAttempts, isResumable } = route;
  const messages: string[] = [];
  if (targetLatencyMs > timeoutMs) {
    messages.push(`has targetLatencyMs ${targetLatencyMs} above timeoutMs ${timeoutMs}`);
  }
  if (gapTargetMs !== undefined && gapTargetMs > timeoutMs) {
    messages.push(`has gapTargetMs ${gapTargetMs} above timeoutMs ${timeoutMs}`);
  }
  const runsOnce = kind === 'non-idempotent' || (kind === 'stream' && !isResumable);
  if (runsOnce && maxAttempts > 1) {
    messages.push(
      `has maxAttempts ${maxAttempts}, but a request that may have run is not sent again on this route`,
    );
  }
  if (isResumable && kind !== 'stream') messages.push('is resumable, but no stream');
  return messages;
}

/** Checks each route of a configuration, in their order. */
export function listRouteFindings(configuration: RoutingConfiguration): Finding[] {
  const findings: Finding[] = [];
  const paths = new Map<string, string>();
  const places = new Map<string, string>();
  for (const [index, route] of configuration.routes.entries()) {
    const path = `routes.${index}`;
    const { name, host, pathPrefix } = route;
    const namesake = paths.get(name);
    if (namesake !== undefined) {
      const message = `has the same name as ${namesake}, "${name}"`;
      findings.push({ path, severity: 'error', message });
    } else paths.set(name, path);
    findings.push(...listTargetFindings(path, route, configuration));
    const place = JSON.stringify([host, pathPrefix]);
    const earlier = places.get(place);
    if (earlier !== undefined) {
      const message = `never matches, because ${earlier} has the same host and prefix`;
      findings.push({ path, severity: 'warning', message });
    } else places.set(place, path);
    for (const message of listContradictions(route)) {
      findings.push({ path, severity: 'warning', message });
    }
  }
  return findings;
}
