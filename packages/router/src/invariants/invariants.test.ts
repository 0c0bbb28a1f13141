import { expect } from 'chai';
import { pino } from 'pino';
import { makeMetrics } from '../metrics/metrics.js';
import { makeInvariants } from './invariants.js';

it('invariants: a violation is counted and logged, one that holds is not', async () => {
  const lines: string[] = [];
  const metrics = makeMetrics();
  const logger = pino({ level: 'error' }, { write: (line: string) => lines.push(line) });
  const invariants = makeInvariants(metrics, logger, false);
  invariants.assert(true, 'token-order', {});
  invariants.assert(false, 'token-order', { index: 4 });
  const { values } = await metrics.invariantViolations.get();
  expect(values.map(({ value }) => value)).to.deep.equal([1]);
  expect(lines.length).to.equal(1);
});
