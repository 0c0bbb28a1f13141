import { expect } from 'chai';
import fc from 'fast-check';
import { HELD_LIMITS } from './held-limits-test-kit.js';
import { makeHeldBytes, type HeldShare } from './held-bytes.js';

const LIMIT = 1_000;
const HEAD_LIMIT = 200;

function makeHeld() {
  return makeHeldBytes(() => ({
    bodyBytes: LIMIT / 2,
    smallBodyBytes: 0,
    allBytes: LIMIT,
    headBytes: HEAD_LIMIT,
    unparsedBytes: LIMIT,
  }));
}

it('held bytes: all shares are counted together, and an ended one no more', () => {
  const held = makeHeld();
  const body = held.begin('body');
  const answer = held.begin('answer');
  body.update(300);
  answer.update(200);
  body.update(350);
  expect(held.countAll()).to.equal(550);
  expect(held.countKind('body')).to.equal(350);
  body.end();
  body.end();
  expect(held.countAll()).to.equal(200);
});

// Guards against a sound answer that is refused because a faulty server's answers fill the memory.
it('held bytes: beyond the limit the largest share is given up, and not the newest', () => {
  const held = makeHeld();
  const cut: string[] = [];
  held.begin('answer', (bytes) => cut.push(`endless ${bytes}`)).update(900);
  held.begin('body', () => cut.push('sound')).update(90);
  held.begin('answer', () => cut.push('newest')).update(50);
  expect(cut).to.deep.equal(['endless 900']);
  expect(held.countAll()).to.equal(140);
});

it('held bytes: what is under way and cannot be given up makes room for nothing', () => {
  const held = makeHeld();
  held.begin('body').update(990);
  let isCut = false;
  held
    .begin('answer', () => {
      isCut = true;
    })
    .update(20);
  expect(isCut).to.equal(true);
  expect(held.countAll()).to.equal(990);
});

// Guards against sound calls whose answers are given up as the bodies of others fill the memory.
it('held bytes: bodies take half of the limit at most, whether they are read or under way', () => {
  const held = makeHeld();
  const cut: string[] = [];
  held.begin('body').update(300);
  held.begin('body', () => cut.push('first')).update(150);
  held.begin('body', () => cut.push('second')).update(60);
  expect(cut).to.deep.equal(['first']);
  held.begin('answer', () => cut.push('answer')).update(600);
  expect(cut).to.deep.equal(['first']);
  expect(held.countKind('body')).to.equal(360);
});

it('held bytes: over any updates the sum is that of the shares, and within the limit', () => {
  const step = fc.record({ share: fc.nat(7), bytes: fc.nat(LIMIT), isEnd: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const held = makeHeld();
      const model: number[] = Array.from({ length: 8 }, () => 0);
      const shares: HeldShare[] = model.map((_bytes, index) =>
        held.begin('answer', () => {
          model[index] = 0;
        }),
      );
      for (const { share, bytes, isEnd } of steps) {
        model[share] = isEnd ? 0 : bytes;
        if (isEnd) shares[share]?.end();
        else shares[share]?.update(bytes);
        const sum = model.reduce((all, own) => all + own, 0);
        expect(held.countAll()).to.equal(sum);
        expect(sum).to.be.at.most(LIMIT);
      }
    }),
  );
});

// Guards against slow callers of streams for whom so much is read that answers have to be given up.
it('held bytes: answers are read ahead of slow callers up to a quarter of the limit, and less beside others', () => {
  const held = makeHeld();
  const unread = held.begin('unread-answer');
  unread.update(249);
  expect(held.hasRoomToReadAhead()).to.equal(true);
  unread.update(250);
  expect(held.hasRoomToReadAhead()).to.equal(false);
  unread.update(200);
  const answer = held.begin('answer');
  answer.update(550);
  expect(held.hasRoomToReadAhead()).to.equal(false);
  answer.end();
  expect(held.hasRoomToReadAhead()).to.equal(true);
});

// Guards against heads of requests sent ahead that cost the answers of others.
it('held bytes: heads have a limit of their own, beyond which the largest of them is given up', () => {
  const held = makeHeld();
  const cut: string[] = [];
  held.begin('answer', () => cut.push('answer')).update(900);
  held.begin('head', () => cut.push('many')).update(150);
  held.begin('head').update(40);
  expect(held.hasRoomForHeads()).to.equal(true);
  held.begin('head', () => cut.push('newest')).update(20);
  expect(cut).to.deep.equal(['many']);
  expect(held.countAll()).to.equal(900);
  held.begin('head').update(HEAD_LIMIT);
  expect(cut).to.deep.equal(['many', 'newest']);
  expect(held.hasRoomForHeads()).to.equal(false);
});

// Guards against large bodies under way that keep ordinary requests out.
it('held bytes: small bodies have room beside larger ones that take all that bodies may', () => {
  const limits = { ...HELD_LIMITS, bodyBytes: 200_000, smallBodyBytes: 10_000 };
  const held = makeHeldBytes(() => limits);
  const cut: string[] = [];
  held.begin('body').update(200_000);
  held.begin('body', () => cut.push('small')).update(9_000);
  held.begin('body', () => cut.push('large')).update(70_000);
  expect(cut).to.deep.equal(['large']);
  expect(held.beginWholeBody(2_000)).to.equal(undefined);
  held.begin('body', () => cut.push('last')).update(2_000);
  expect(cut).to.deep.equal(['large', 'small']);
});
