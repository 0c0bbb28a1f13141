import type { StorePosition } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { parseAddress } from '../http/parse-address.js';
import { decodeMember, listMembers } from './registry.js';

const position = 1 as StorePosition;
const oddRow = fc.oneof(
  fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
  fc.json().map((json) => Buffer.from(json)),
  fc
    .record({
      peerAddress: fc.oneof(
        fc.tuple(fc.ipV4(), fc.integer()).map(([ip, port]) => `${ip}:${port}`),
        fc.webUrl(),
        fc.jsonValue(),
      ),
      capacity: fc.oneof(fc.double(), fc.jsonValue()),
    })
    .map((fields) => Buffer.from(JSON.stringify(fields))),
);
const anyKey = fc.string({ unit: 'binary', maxLength: 200 }).map((name) => `vm/${name}`);

// Guards against a row of a VM that throws where it is decoded or where the VM is dialled.
it('registry fuzz: whatever a row of a VM holds, it is unusable or the VM can be dialled', () => {
  fc.assert(
    fc.property(anyKey, oddRow, (key, value) => {
      const decoded = decodeMember({ key, position, value });
      if (decoded?.kind !== 'usable') return;
      const { vmId, peerAddress, capacity } = decoded.value;
      expect(vmId).to.not.equal('');
      expect(parseAddress(peerAddress)).to.not.equal(undefined);
      expect(new URL(`ws://${peerAddress}/peer`).protocol).to.equal('ws:');
      expect(capacity).to.be.within(0, 65_536);
    }),
  );
});

it('registry fuzz: rows that cannot be used hide no row of a VM', () => {
  const row = { peerAddress: '10.1.0.35:7660', capacity: 0.675 };
  const sound = { key: 'vm/front-1', position, value: Buffer.from(JSON.stringify(row)) };
  fc.assert(
    fc.property(fc.array(oddRow), (values) => {
      const odd = values.map((value, index) => ({ key: `vm/odd-${index}`, position, value }));
      const ids = listMembers([...odd, sound]).map(({ vmId }) => vmId);
      expect(ids).to.include('front-1');
    }),
  );
});
