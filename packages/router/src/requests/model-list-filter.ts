/** Answers `GET /v1/models` with the models that the caller may use. */

import { findRule } from '@tarragonspool/core';
import type { ModelName } from '@tarragonspool/protocol';
import { ANSWERED, CONTINUE, type Filter } from '../callers/exchange.js';
import type { RulesView } from '../rules/rules-view.js';
import type { Directory } from '../upstreams/directory.js';

/** Makes the filter, which runs after authentication. */
export function makeModelListFilter(directory: Directory, view: RulesView): Filter {
  return function* listModels(exchange) {
    const { callerId } = exchange;
    if (callerId === undefined) return CONTINUE;
    const models = new Set<ModelName>();
    for (const engine of directory.engines.values()) {
      for (const model of engine.models) {
        const rule = findRule(view.ruleSet, callerId, engine.service, { model });
        if (rule !== undefined) models.add(model);
      }
    }
    const data = [...models].sort().map((id) => ({ id, object: 'model', owned_by: 'operator' }));
    exchange.response.setHeader('content-type', 'application/json');
    exchange.response.end(JSON.stringify({ object: 'list', data }));
    return ANSWERED;
  };
}
