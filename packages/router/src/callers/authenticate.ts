/** Finds out which caller sent a request. */

import { findKeyHolder } from '@tarragonspool/core';
import type { CallerId } from '@tarragonspool/protocol';
import type { RulesView } from '../rules/rules-view.js';
import { digestSentKey } from '../tenants/key-digest.js';
import { CONTINUE, refuse, type Filter } from './exchange.js';

/** Finds the caller of an Authorization header; keys are compared by their digests. */
export function findCaller(view: RulesView, authorization: string): CallerId | undefined {
  return findKeyHolder(view.ruleSet.callersByDigest, authorization, digestSentKey);
}

/** Makes the filter that sets the caller of an exchange. */
export function makeAuthenticateFilter(view: RulesView): Filter {
  return function* authenticate(exchange) {
    const { authorization } = exchange.incoming.headers;
    if (authorization === undefined) return refuse('missing-key', 'send Authorization: Bearer');
    exchange.callerId = findCaller(view, authorization);
    if (exchange.callerId === undefined) return refuse('wrong-key', 'the key is not approved');
    return CONTINUE;
  };
}
