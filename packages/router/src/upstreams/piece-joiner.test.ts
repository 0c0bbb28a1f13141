import { expect } from 'chai';
import { makePieceJoiner } from './piece-joiner.js';

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against a call of everything behind for each byte that a server sends as a chunk.
it('piece joiner: pieces of one read are handed on once, and those of the next one apart', async () => {
  const handed: string[] = [];
  const joiner = makePieceJoiner((bytes) => handed.push(String(bytes)));
  for (const letter of 'abc') joiner.add(Buffer.from(letter));
  expect(handed).to.deep.equal([]);
  await nextTurn();
  joiner.add(Buffer.from('d'));
  await nextTurn();
  expect(handed).to.deep.equal(['abc', 'd']);
});

it('piece joiner: what is flushed comes once, and what is dropped never', async () => {
  const handed: string[] = [];
  const joiner = makePieceJoiner((bytes) => handed.push(String(bytes)));
  joiner.add(Buffer.from('a'));
  joiner.flush();
  joiner.flush();
  joiner.add(Buffer.from('b'));
  joiner.add(Buffer.from('c'));
  joiner.drop();
  await nextTurn();
  expect(handed).to.deep.equal(['a']);
});
