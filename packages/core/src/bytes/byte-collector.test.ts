import { expect } from 'chai';
import fc from 'fast-check';
import { makeByteCollector } from './byte-collector.js';

const PIECE_COUNT = 200_000;

it('byte collector: pieces come back joined, whatever was dropped before', () => {
  const pieces = fc.array(fc.uint8Array({ maxLength: 400 }), { maxLength: 40 });
  fc.assert(
    fc.property(pieces, fc.nat(200), (parts, dropped) => {
      const collector = makeByteCollector();
      let expected = Buffer.alloc(0);
      for (const [index, part] of parts.entries()) {
        collector.append(Buffer.from(part));
        expected = Buffer.concat([expected, part]);
        if (index % 3 !== 2) continue;
        collector.dropFirst(dropped);
        expected = expected.subarray(dropped);
      }
      expect(collector.countBytes()).to.equal(expected.length);
      expect(collector.getBytes().equals(expected)).to.equal(true);
      expect(collector.take().equals(expected)).to.equal(true);
      expect(collector.countBytes()).to.equal(0);
    }),
  );
});

// Guards against pieces of one byte that take a hundred times their size in memory.
it('byte collector: the buffer is at most twice as long as what it holds, for pieces of one byte too', () => {
  const collector = makeByteCollector();
  const piece = Buffer.from('x');
  for (let index = 0; index < PIECE_COUNT; index += 1) collector.append(piece);
  expect(collector.countBytes()).to.equal(PIECE_COUNT);
  expect(collector.getBytes().buffer.byteLength).to.be.at.most(2 * PIECE_COUNT);
});

it('byte collector: many small pieces cost more than one of the same bytes', () => {
  const [one, many] = [makeByteCollector(), makeByteCollector()];
  one.append(Buffer.alloc(100));
  for (let index = 0; index < 100; index += 1) many.append(Buffer.alloc(1));
  expect(many.countCost()).to.be.above(10 * one.countCost());
});

it('byte collector: large pieces among small ones come back in order, read in between or not', () => {
  const step = fc.record({
    bytes: fc.oneof(fc.nat(300), fc.integer({ min: 16_000, max: 70_000 })),
    isRead: fc.boolean(),
    dropped: fc.oneof(fc.constant(0), fc.nat(90_000)),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const collector = makeByteCollector();
      let expected = Buffer.alloc(0);
      for (const [index, { bytes, isRead, dropped }] of steps.entries()) {
        const piece = Buffer.alloc(bytes, index + 1);
        collector.append(piece);
        expected = Buffer.concat([expected, piece]);
        if (isRead) expect(collector.getBytes().equals(expected)).to.equal(true);
        collector.dropFirst(dropped);
        expected = expected.subarray(dropped);
      }
      expect(collector.countBytes()).to.equal(expected.length);
      expect(collector.take().equals(expected)).to.equal(true);
    }),
  );
});
