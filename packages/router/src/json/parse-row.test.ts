import { expect } from 'chai';
import fc from 'fast-check';
import * as z from 'zod';
import { parseRow } from './parse-row.js';

const MARK = 'geheim';

function findReason(text: string): string {
  const parsed = parseRow(z.object({ count: z.number() }), Buffer.from(text));
  return parsed.kind === 'unusable' ? parsed.reason : 'usable';
}

// Guards against reasons that do not tell an operator where the fault is.
it('parse row: the reason names the field, or the position in what is no JSON', () => {
  expect(findReason('{"count":1}')).to.equal('usable');
  expect(findReason('{"count":"1"}')).to.match(/^count: Invalid input/u);
  expect(findReason('7')).to.match(/^Invalid input: expected object/u);
  expect(findReason('{"count":1 "other":2}')).to.equal('not valid JSON at position 11');
  expect(findReason('{"count":x}')).to.match(/^not valid JSON( at position 9)?$/u);
});

// Guards against logs with keys: the runtime quotes some characters around the place where a text is no JSON.
it('parse row: the reason contains nothing of what is no JSON', () => {
  const text = fc.string({ maxLength: 30 });
  fc.assert(
    fc.property(text, text, (head, tail) => {
      expect(findReason(`${head}${MARK}${tail}`)).not.to.include(MARK);
      expect(findReason(`{"keys": [${head}${MARK}${tail}]}`)).not.to.include(MARK);
    }),
  );
});
