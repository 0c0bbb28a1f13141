import { expect } from 'chai';
import fc from 'fast-check';
import type { Incarnation, RuleRevision, UpstreamId, VmId } from './ids.js';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';
import { MAX_PEER_FRAME_BYTES, type PeerMessage } from './peer-messages.js';

const MESSAGE: PeerMessage = {
  kind: 'heartbeat',
  sentAt: 1_700_000_000_000,
  isLeaving: true,
  rulesRevision: 7 as RuleRevision,
  summaries: [{ shardId: 's' as never, owner: 'vm-1' as VmId, startAt: [1, 2, 3] }],
  leaving: [{ upstreamId: 'e1' as UpstreamId, incarnation: 3 as Incarnation }],
};

it('peers fuzz: random bytes are decoded as undefined and never throw', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      expect(decodePeerMessage(Buffer.from(bytes))).to.equal(undefined);
    }),
  );
});

it('peers fuzz: a damaged frame is decoded as undefined or as a message of a known kind', () => {
  const frame = encodePeerMessage(MESSAGE);
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(frame.length - 1), fc.nat(255)), { minLength: 1, maxLength: 8 }),
      fc.nat(frame.length),
      (damage, length) => {
        const damaged = Buffer.from(frame);
        for (const [at, byte] of damage) damaged[at] = byte;
        const message = decodePeerMessage(damaged.subarray(0, length));
        if (message !== undefined) expect(message.kind).to.equal('heartbeat');
      },
    ),
  );
});

it('peers fuzz: an undamaged frame is decoded as the encoded message', () => {
  expect(decodePeerMessage(encodePeerMessage(MESSAGE))).to.deep.equal(MESSAGE);
});

/** One byte of msgpack that opens a list or a map with one item, repeated; then an end. */
const NESTING: readonly (readonly number[])[] = [[0x91], [0x81, 0xa1, 0x61], [0x81]];
/** Lengths far beyond the frame, of a list, a map, a text, bytes and an extension. */
const LONG_HEADS: readonly (readonly number[])[] = [
  [0xdd, 0xff, 0xff, 0xff, 0xff],
  [0xdf, 0xff, 0xff, 0xff, 0xff],
  [0xdb, 0xff, 0xff, 0xff, 0xff],
  [0xc6, 0xff, 0xff, 0xff, 0xff],
  [0xc9, 0xff, 0xff, 0xff, 0xff, 0x01],
];

// Guards against a frame that ends the process, or takes all its memory, while it is decoded.
it('peers: a frame nested as deep as a frame is long, or with lengths beyond it, is malformed and does not throw', () => {
  for (const unit of NESTING) {
    const frame = Buffer.alloc(MAX_PEER_FRAME_BYTES, Buffer.from(unit));
    expect(decodePeerMessage(frame)).to.equal(undefined);
    const inField = Buffer.concat([Buffer.from([0x81, 0xa4]), Buffer.from('kind'), frame]);
    expect(decodePeerMessage(inField.subarray(0, MAX_PEER_FRAME_BYTES))).to.equal(undefined);
  }
  for (const head of LONG_HEADS) expect(decodePeerMessage(Buffer.from(head))).to.equal(undefined);
});

// Guards against odd rows that cut the link over which they are passed on, or arrive as others.
it('peers fuzz: rows of any key and any bytes arrive at a peer as they are', () => {
  const row = fc.record({
    key: fc.string({ unit: 'grapheme', maxLength: 60 }),
    version: fc.maxSafeNat(),
    value: fc.option(fc.uint8Array({ maxLength: 300 }), { nil: undefined }),
  });
  fc.assert(
    fc.property(fc.array(row), fc.maxSafeNat(), fc.boolean(), (rows, version, isFull) => {
      const items = rows.map((item) => ({ ...item, value: item.value && Buffer.from(item.value) }));
      const message = { kind: 'rows-copy', table: 'servers', version, isFull, rows: items };
      const decoded = decodePeerMessage(encodePeerMessage(message as unknown as PeerMessage));
      if (decoded?.kind !== 'rows-copy') throw new Error('not read');
      const arrived = decoded.rows.map((item) => ({
        ...item,
        value: item.value && Buffer.from(item.value),
      }));
      expect(arrived).to.deep.equal(items);
    }),
  );
});
