import type { WeightVersion } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { dropByteOrderMark, makeEventSplitter, type StreamPart } from './event-splitter.js';

const PIECE_COUNT = 200_000;

/** Splits a text that arrives in chunks; returns the parts and what is left at the end. */
function splitText(text: string, chunkLength = text.length): StreamPart[] {
  const splitter = makeEventSplitter();
  const parts: StreamPart[] = [];
  const bytes = Buffer.from(text);
  for (let start = 0; start < bytes.length; start += chunkLength) {
    parts.push(...splitter.split(bytes.subarray(start, start + chunkLength)));
  }
  return [...parts, ...splitter.takeRest()];
}

function joinParts(parts: readonly StreamPart[]): string {
  return Buffer.concat(parts.map(({ bytes }) => bytes)).toString();
}

function listIds(text: string, chunkLength = text.length): (number | string)[] {
  return splitText(text, chunkLength).flatMap((part) => {
    if (part.kind === 'filler') return [];
    return [part.id.kind === 'number' ? part.id.value : part.id.kind];
  });
}

// Guards against a stream that goes on after an event with a number that no engine knows.
it('event splitter: an id that no number holds exactly is no number', () => {
  const odd = `id: ${'9'.repeat(400)}\ndata: a\n\nid: 9007199254740993\ndata: b\n\nid: 7\ndata: c\n\n`;
  expect(listIds(odd)).to.deep.equal(['unusable', 'unusable', 7]);
});

it('event splitter: the ids of events are read as browsers read them', () => {
  expect(listIds('id:4\ndata: a\n\n')).to.deep.equal([4]);
  expect(listIds('id: 4\nid: 5\ndata: a\n\n')).to.deep.equal([5]);
  expect(listIds('id: 4x\ndata: a\n\n')).to.deep.equal(['unusable']);
  expect(listIds('id\ndata: a\n\n')).to.deep.equal(['unusable']);
  expect(listIds('idea: 4\ndata: a\n\n')).to.deep.equal(['none']);
  expect(listIds('data: id: 4\n\n')).to.deep.equal(['none']);
  expect(listIds('\u{feff}id: 4\ndata: a\n\n')).to.deep.equal([4]);
});

it('event splitter: comments are no events and come out as they arrive', () => {
  const splitter = makeEventSplitter();
  const kinds = splitter.split(Buffer.from(': ping\n\nid: 1\n\n')).map(({ kind }) => kind);
  expect(kinds).to.deep.equal(['filler', 'event']);
  expect(splitter.rest.countBytes()).to.equal(0);
});

// Guards against events that end their lines with a carriage return alone, and were held until the answer ended.
for (const [name, lineEnd] of [
  ['line feeds', '\n'],
  ['carriage returns', '\r'],
  ['both', '\r\n'],
] as const) {
  it(`event splitter: events come out whole wherever the chunks end, with lines that end in ${name}`, () => {
    const events = ['id: 1,data: a,,', ': note,,', 'id: 2,data: b,,', 'data: c,,', 'id: 3,data: d'];
    const text = events.join('').replaceAll(',', lineEnd);
    for (let length = 1; length <= text.length; length += 1) {
      const parts = splitText(text, length);
      expect(joinParts(parts)).to.equal(text);
      expect(listIds(text, length)).to.deep.equal([1, 2, 'none', 3]);
    }
  });
}

it('event splitter: an event is passed on when its blank line has come, also by a carriage return alone', () => {
  const splitter = makeEventSplitter();
  expect(splitter.split(Buffer.from('id: 1\r\r')).length).to.equal(1);
  expect(splitter.split(Buffer.from('id: 2\r\n\r\n')).length).to.equal(1);
  expect(splitter.isInsideEvent()).to.equal(false);
});

it('event splitter: an event whose last line feed has not come is not broken', () => {
  const splitter = makeEventSplitter();
  expect(splitter.split(Buffer.from('id: 1\r\ndata: a\r\n\r'))).to.deep.equal([]);
  expect(splitter.isInsideEvent()).to.equal(false);
  const [part] = splitter.takeRest();
  expect(part).to.deep.include({ kind: 'event', id: { kind: 'number', value: 1 } });
});

it('event splitter: any bytes in any chunks come out as they came', () => {
  const texts = fc.array(fc.constantFrom('id: 1', 'data: x', ':', '\r', '\n', '\r\n', 'id', 'é'));
  fc.assert(
    fc.property(texts, fc.integer({ min: 1, max: 9 }), (pieces, length) => {
      const text = pieces.join('');
      expect(joinParts(splitText(text, length))).to.equal(text);
      expect(listIds(text, length)).to.deep.equal(listIds(text));
    }),
  );
});

// Guards against an event in pieces of one byte that is searched anew for each of them.
it('event splitter: an event in many small pieces costs more, and is held once', () => {
  const splitter = makeEventSplitter();
  const piece = Buffer.from('x');
  for (let index = 0; index < PIECE_COUNT; index += 1) splitter.split(piece);
  expect(splitter.rest.countBytes()).to.equal(PIECE_COUNT);
  expect(splitter.rest.countCost()).to.be.above(10 * PIECE_COUNT);
});

it('event splitter: a byte order mark is dropped from the beginning alone', () => {
  const mark = '\u{feff}';
  expect(dropByteOrderMark(Buffer.from(`${mark}id: 1`)).toString()).to.equal('id: 1');
  expect(dropByteOrderMark(Buffer.from('id: 1')).toString()).to.equal('id: 1');
});

// Guards against a time to wait that counts as an event without an id, after which no other run can go on.
it('event splitter: a time to wait by itself is no event, but must end like one', () => {
  const splitter = makeEventSplitter();
  const parts = splitter.split(Buffer.from('retry: 500\n\nretry: 500\nid: 1\ndata: a\n\nretry: 5'));
  expect(parts.map(({ kind }) => kind)).to.deep.equal(['filler', 'event']);
  expect(splitter.isInsideEvent()).to.equal(true);
});

/** Reads `v` and a number from a line. */
function decodeVersion(line: string): WeightVersion | undefined {
  const [, digits] = /^v(\d)$/u.exec(line) ?? [];
  return digits === undefined ? undefined : (Number(digits) as WeightVersion);
}

function listVersions(text: string, chunkLength = text.length): (number | undefined)[] {
  const splitter = makeEventSplitter(decodeVersion);
  const bytes = Buffer.from(text);
  const versions: (number | undefined)[] = [];
  for (let start = 0; start < bytes.length; start += chunkLength) {
    for (const part of splitter.split(bytes.subarray(start, start + chunkLength))) {
      versions.push(part.kind === 'event' ? part.weightVersion : undefined);
    }
  }
  return versions;
}

// Guards against weights that are taken from another line than an event's first, or that stay for the next event.
it('event splitter: the first line of an event names its weights, whatever its line ends and chunks are', () => {
  const text = 'v1,id: 1,data: a,,id: 2,v2,,: note,,: note,v3,id: 3,,v4,,data: v5,,';
  const wanted = [1, undefined, undefined, 3, 4, undefined];
  for (const lineEnd of ['\n', '\r', '\r\n']) {
    const sent = text.replaceAll(',', lineEnd);
    for (let length = 1; length <= sent.length; length += 1) {
      expect(listVersions(sent, length)).to.deep.equal(wanted);
    }
  }
  expect(listVersions('\u{feff}v1\nid: 1\n\n')).to.deep.equal([1]);
});

// Guards against lines that are read again with each chunk of an event.
it('event splitter: only the first line of an event is asked for weights, and once', () => {
  const lines: string[] = [];
  const splitter = makeEventSplitter((line) => {
    lines.push(line);
    return undefined;
  });
  for (const piece of 'v1\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n') {
    splitter.split(Buffer.from(piece));
  }
  expect(lines).to.deep.equal(['v1', 'id: 2']);
});
