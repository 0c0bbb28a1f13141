import { expect } from 'chai';
import { makeEventSplitter } from './event-splitter.js';

// Guards against a stream that goes on after an event with a number that no engine knows.
it('event splitter: an id that no number holds exactly is no id', () => {
  const splitter = makeEventSplitter();
  const odd = `id: ${'9'.repeat(400)}\ndata: a\n\nid: 9007199254740993\ndata: b\n\n`;
  expect(splitter.split(Buffer.from(odd))).to.include({ count: 2, lastEventId: undefined });
  const sound = splitter.split(Buffer.from('id: 7\ndata: c\n\n'));
  expect(sound).to.include({ count: 1, lastEventId: 7 });
});
