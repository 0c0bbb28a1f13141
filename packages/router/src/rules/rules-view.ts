/** The rules in force on this VM, as the other parts read them. */

import { buildRuleSet, renderDocument, type RuleDocument, type RuleSet } from '@tarragonspool/core';
import type { RuleRevision } from '@tarragonspool/protocol';

/** Rules in force; replaced as a whole. */
export type RulesView = {
  ruleSet: RuleSet;
  document: RuleDocument | undefined;
  /** Zero until rules were read from the platform or a peer. */
  revision: RuleRevision;
  /** Until when requests may be admitted under these rules, in milliseconds since the epoch. */
  admitUntil: number;
};

/** Makes a view without rules. */
export function makeRulesView(): RulesView {
  const ruleSet = buildRuleSet([]);
  return { ruleSet, document: undefined, revision: 0 as RuleRevision, admitUntil: 0 };
}

/** Returns the text of the rule file in force. */
export function renderRules(view: RulesView): string {
  return view.document === undefined ? '' : renderDocument(view.document);
}

/** Whether the rules are known and were lately confirmed to be current. */
export function isRulesViewCurrent(view: RulesView, now: number): boolean {
  return view.document !== undefined && now <= view.admitUntil;
}
