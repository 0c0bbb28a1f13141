import { expect } from 'chai';
import fc from 'fast-check';
import {
  parseCacheEvents,
  parseEngineHolds,
  parseLoadReport,
  parsePrefillResult,
} from './engine-codec.js';

it('engine codec: malformed responses are parsed as undefined and never throw', () => {
  fc.assert(
    fc.property(fc.anything(), (value) => {
      for (const parse of [
        parseCacheEvents,
        parseEngineHolds,
        parseLoadReport,
        parsePrefillResult,
      ]) {
        parse(value);
      }
    }),
  );
  expect(parseCacheEvents([])).to.equal(undefined);
  expect(parseCacheEvents({ events: [], latest: 0 })).to.deep.equal({ events: [], latest: 0 });
});
