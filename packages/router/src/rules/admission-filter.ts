/** Refuses requests while this VM cannot confirm that its rules are current. */

import { CONTINUE, refuse, type Filter } from '../callers/exchange.js';
import { isRulesViewCurrent, type RulesView } from './rules-view.js';

const RETRY_AFTER_MS = 1_000;

/** Makes the filter; it stands before authentication, which reads the rules. */
export function makeAdmissionFilter(view: RulesView): Filter {
  return function* checkRulesAreCurrent() {
    const now = Date.now();
    if (isRulesViewCurrent(view, now)) return CONTINUE;
    const name = view.document === undefined ? 'not-ready' : 'cut-off';
    return refuse(name, 'neither the platform nor a peer confirms the rules', now + RETRY_AFTER_MS);
  };
}
