import { expect } from 'chai';
import fc from 'fast-check';
import type { Incarnation, RuleRevision, UpstreamId, VmId } from './ids.js';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';
import type { PeerMessage } from './peer-messages.js';

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
