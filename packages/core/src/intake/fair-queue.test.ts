import { expect } from 'chai';
import fc from 'fast-check';
import { makeFairQueue } from './fair-queue.js';

type Item = { readonly name: string };

// Guards against an ordinary caller that waits for all that others have sent.
it('fair queue: an item that comes late waits for one piece of work, however many items there are', () => {
  const queue = makeFairQueue<Item>();
  const costly = Array.from({ length: 400 }, (_, index) => ({ name: `costly-${index}` }));
  for (const item of costly) queue.add(item);
  for (let turn = 0; turn < 5_000; turn += 1) {
    const item = queue.take();
    if (item === undefined) throw new Error('nothing waits');
    queue.charge(item, 1);
    queue.add(item);
  }
  const ordinary = { name: 'ordinary' };
  queue.add(ordinary);
  const next: unknown[] = [];
  while (next.length < 400) {
    const item = queue.take();
    if (item === undefined) throw new Error('nothing waits');
    next.push(item);
    queue.charge(item, 1);
    queue.add(item);
  }
  expect(next).to.include(ordinary);
  queue.add(ordinary);
  expect(queue.count()).to.equal(401);
});

// Guards against an item that takes more by sending costlier pieces.
it('fair queue: items that always wait get shares that differ by no more than their largest pieces', () => {
  const costs = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 2, maxLength: 8 });
  fc.assert(
    fc.property(costs, (pieces) => {
      const queue = makeFairQueue<{ cost: number; had: number }>();
      const items = pieces.map((cost) => ({ cost, had: 0 }));
      for (const item of items) queue.add(item);
      for (let turn = 0; turn < 300; turn += 1) {
        const item = queue.take();
        if (item === undefined) throw new Error('nothing waits');
        item.had += item.cost;
        queue.charge(item, item.cost);
        queue.add(item);
      }
      const shares = items.map(({ had }) => had);
      const largest = Math.max(...pieces);
      expect(Math.max(...shares) - Math.min(...shares)).to.be.at.most(2 * largest);
    }),
  );
});

// Guards against a connection that is closed and would be read.
it('fair queue: an item that is removed is not taken', () => {
  const queue = makeFairQueue<Item>();
  const item = { name: 'gone' };
  queue.add(item);
  queue.remove(item);
  expect(queue.take()).to.equal(undefined);
  expect(queue.count()).to.equal(0);
});

// Guards against a sound connection that comes late and is closed for what others have cost before it came.
it('fair queue: an item that comes late has cost less than those that have had more work', () => {
  const queue = makeFairQueue<Item>();
  const costly = Array.from({ length: 10 }, (_, index) => ({ name: `costly-${index}` }));
  for (const item of costly) queue.add(item);
  for (let turn = 0; turn < 300; turn += 1) {
    const item = queue.take();
    if (item === undefined) throw new Error('nothing waits');
    queue.charge(item, 1);
    queue.add(item);
  }
  const late = { name: 'late' };
  queue.add(late);
  while (queue.take() !== late);
  queue.charge(late, 2);
  queue.add(late);
  expect(queue.getCost(late)).to.equal(2);
  for (const item of costly) expect(queue.getCost(item)).to.be.at.least(30);
});

it('fair queue: what an item cost before nothing waited is forgotten', () => {
  const queue = makeFairQueue<Item>();
  const item = { name: 'kept' };
  queue.add(item);
  queue.charge(queue.take() ?? item, 5);
  expect(queue.getCost(item)).to.equal(5);
  queue.add(item);
  expect(queue.getCost(item)).to.equal(0);
});
