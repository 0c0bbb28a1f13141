import { expect } from 'chai';
import type { CallerId, ModelName, ServiceName } from '@tarragonspool/protocol';
import { parseRuleFile } from './rule-file.js';
import { buildRuleSet, findRule } from './rule-set.js';

const DIGEST = 'a'.repeat(64);

it('rule file: parses callers and rules', () => {
  const parsed = parseRuleFile(
    `# header\ncaller desk key-sha256=${DIGEST} # Nimal\nallow desk llm priority=7 once # Nimal\n`,
  );
  if (parsed.kind !== 'rules') throw new Error('expected rules');
  expect(parsed.rules).to.have.length(2);
});

it('rule file: refuses the whole file and reports the number of each bad line', () => {
  const parsed = parseRuleFile('allow desk llm # ok\nallow desk llm priority=12 # x\nallow a b\n');
  if (parsed.kind !== 'errors') throw new Error('expected errors');
  expect(parsed.errors.map((error) => error.line)).to.deep.equal([2, 3]);
});

it('rule set: a drain line names exactly one upstream, which gets no new work', () => {
  const parsed = parseRuleFile('drain llm-2 # Nimal\n');
  if (parsed.kind !== 'rules') throw new Error('expected rules');
  expect([...buildRuleSet(parsed.rules).drainedUpstreams]).to.deep.equal(['llm-2']);
  expect(parseRuleFile('drain llm-2 llm-3 # Nimal\n').kind).to.equal('errors');
  expect(parseRuleFile('drain # Nimal\n').kind).to.equal('errors');
});

it('rule set: the matching rule with the most model constraints applies', () => {
  const parsed = parseRuleFile('allow a s priority=1 # x\nallow a s model=m priority=8 # x\n');
  if (parsed.kind !== 'rules') throw new Error('expected rules');
  const ruleSet = buildRuleSet(parsed.rules);
  const rule = findRule(ruleSet, 'a' as CallerId, 's' as ServiceName, { model: 'm' as ModelName });
  expect(rule?.priority).to.equal(8);
  expect(findRule(ruleSet, 'b' as CallerId, 's' as ServiceName)).to.equal(undefined);
});
