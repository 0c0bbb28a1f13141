import { expect } from 'chai';
import { ACCEPTED_KINDS, encodePeerMessage, isAccepted, decodePeerFrame } from './peer-codec.js';
import type { PeerMessage } from './peer-messages.js';

/** Kinds of the last version that did not tell which kinds it accepts. */
const FIRST_KINDS = [
  'pool-ask',
  'pool-queued',
  'pool-grant',
  'pool-refuse',
  'pool-withdraw',
  'pool-prefilled',
  'pool-end',
  'pool-engine-failed',
  'pool-runs',
  'pool-engine-ordered',
  'alive',
  'permit-request',
  'permit-answer',
  'rows-wanted',
  'rows-copy',
  'relay-send',
  'relay-event',
  'relay-cancel',
  'relay-flow',
  'path-question',
  'path-answer',
  'hello',
  'proof',
  'heartbeat',
  'rules',
  'rules-deltas',
  'rules-wanted',
  'ask',
  'grant',
  'refuse',
  'queued',
  'withdraw',
  'progress',
  'end',
  'held',
  'prompt-parts',
  'upstreams-leaving',
  'upstream-limits',
  'stream-origins',
  'stream-origin-request',
  'stream-origins-untold',
  'stream-origin-answer',
  'request-started',
  'request-ended',
  'request-verdict',
  'suspects',
];

function buildMessage(kind: string): PeerMessage {
  return { kind } as unknown as PeerMessage;
}

// Guards against a new kind that is sent to versions which close the link for it, and against one that is dropped.
it('peer codec: a peer that tells no kinds is sent those of its time and no others, and all of them are still decoded', () => {
  expect(ACCEPTED_KINDS).to.include.members(FIRST_KINDS);
  for (const kind of ACCEPTED_KINDS) {
    const isFirst = FIRST_KINDS.includes(kind);
    expect(isAccepted(buildMessage(kind), undefined), kind).to.equal(isFirst);
  }
});

it('peer codec: a frame of an unknown kind is told from a malformed one', () => {
  const decode = (value: object) => decodePeerFrame(encodePeerMessage(value as PeerMessage));
  expect(decode({ kind: 'later', more: [1] })).to.deep.equal({ kind: 'unknown', name: 'later' });
  expect(decode({ kind: 'alive' })).to.deep.equal({ kind: 'malformed' });
  expect(decode({ kind: 3 })).to.deep.equal({ kind: 'malformed' });
  expect(decode([])).to.deep.equal({ kind: 'malformed' });
});
