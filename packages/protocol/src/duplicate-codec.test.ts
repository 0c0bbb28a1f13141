import { expect } from 'chai';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';
import type { PeerMessage } from './peer-messages.js';

it('peer codec: `suspects` messages and each kind of duplicate check are unchanged by encoding and decoding', () => {
  const messages = [
    { kind: 'request-started', requestKey: 'k' },
    { kind: 'request-ended', requestKey: 'k' },
    { kind: 'request-verdict', requestKey: 'k', isFirst: true },
    {
      kind: 'suspects',
      items: [{ fingerprint: 'f', crashes: 0, lastUpstream: 'e', expiresAt: 1 }],
    },
  ] as unknown as PeerMessage[];
  for (const message of messages) {
    expect(decodePeerMessage(encodePeerMessage(message))).to.deep.equal(message);
  }
});
