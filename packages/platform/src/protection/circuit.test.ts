import { expect } from 'chai';
import { endCall, makeCircuit, startCall, type Circuit } from './circuit.js';

const random = (): number => 0.5;

function countStarts(circuit: Circuit, now: number): number {
  let count = 0;
  while (count < 100 && startCall(circuit, now)) count += 1;
  return count;
}

it('circuit: calls at once double after an outage instead of returning all together', () => {
  const circuit = makeCircuit();
  for (let index = 0; index < 5; index += 1) {
    startCall(circuit, 0);
    endCall(circuit, false, 0, random);
  }
  expect(countStarts(circuit, 10_000)).to.equal(1);
  endCall(circuit, true, 10_001, random);
  expect(countStarts(circuit, 10_001)).to.equal(2);
});
