/** Rule distribution: memory and processor time against the number of rules. */

import { createHash } from 'node:crypto';
import { applyDelta, buildDocument, findRule } from '../../packages/core/dist/index.js';
import { encodePeerMessage } from '../../packages/protocol/dist/index.js';
import { measureCpu, measureKept } from './measure.js';

const SERVICES = 20;

function makeText(rules) {
  const lines = [];
  for (let caller = 0; lines.length < rules; caller += 1) {
    const digest = createHash('sha256').update(String(caller)).digest('hex');
    lines.push(`caller org-${caller} key-sha256=${digest}  # Nimal, quota desk`);
    for (let service = 0; service < SERVICES && lines.length < rules; service += 1) {
      lines.push(
        `allow org-${caller} model-${service} priority=${service % 10} answer-ms=8000  # Nimal`,
      );
    }
  }
  return `${lines.join('\n')}\n`;
}

function makeDocument(text) {
  const built = buildDocument(text, 1);
  if (built.kind !== 'document') throw new Error('the rules do not parse');
  return built.document;
}

function makeDelta(before, after) {
  return {
    revision: 2,
    editId: 'edit-0123456789',
    author: 'Nimal',
    acceptedAt: 1_796_354_481_790,
    checksum: after.checksum,
    change: {
      kind: 'hunks',
      hunks: [{ at: 1, removed: [before.lines[1].text], added: [after.lines[1].text] }],
    },
  };
}

/** Measures rules. */
export function measureRules() {
  const [memory, parse, apply, find] = [[], [], [], []];
  let deltaBytes = 0;
  for (const size of [1_000, 10_000, 52_500]) {
    const text = makeText(size);
    const { made, bytes } = measureKept(() => makeDocument(text));
    memory.push({ size, value: bytes });
    const runs = Math.ceil(200_000 / size);
    parse.push({ size, value: measureCpu(runs, () => makeDocument(text)) });
    const delta = makeDelta(made, makeDocument(text.replace('priority=0', 'priority=1')));
    deltaBytes = encodePeerMessage({ kind: 'rules-deltas', deltas: [delta] }).length;
    if (applyDelta(made, delta) === undefined) throw new Error('the delta does not apply');
    apply.push({ size, value: measureCpu(runs, () => applyDelta(made, delta)) });
    const callers = Math.ceil(size / (SERVICES + 1));
    const look = (index) =>
      findRule(made.ruleSet, `org-${index % callers}`, `model-${index % SERVICES}`, {
        model: `model-${index % SERVICES}`,
      });
    find.push({ size, value: measureCpu(100_000, look) });
  }
  const role = 'rule distribution';
  return [
    { role, what: 'document and rule set', unit: 'bytes', per: 'rule', points: memory },
    { role, what: 'processor time to parse a whole file', unit: 'µs', per: 'rule', points: parse },
    {
      role,
      what: `processor time to apply a delta of one line (frame of ${deltaBytes} bytes)`,
      unit: 'µs',
      per: 'rule',
      points: apply,
    },
    { role, what: 'processor time of one look-up', unit: 'µs', per: 'rule', points: find },
  ];
}
