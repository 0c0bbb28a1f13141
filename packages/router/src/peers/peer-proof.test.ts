import { expect } from 'chai';
import type { Incarnation, VmId } from '@tarragonspool/protocol';
import { isProofValid, makeProof } from './peer-proof.js';

const OLD = 'old-secret-0123456789';
const NEW = 'new-secret-0123456789';
const PROVER = { nonce: 'a1b2', vmId: 'vm-1' as VmId, incarnation: 1 as Incarnation };
const VERIFIER = { nonce: 'c3d4', vmId: 'vm-2' as VmId, incarnation: 2 as Incarnation };
const SUBJECT = { prover: PROVER, verifier: VERIFIER };
const STEPS = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]] as const;

function isAccepted(prover: readonly string[], verifier: readonly string[]): boolean {
  return isProofValid(verifier, SUBJECT, makeProof(prover[0] ?? '', SUBJECT));
}

it('peer proof: neighbouring steps of a rotation accept each other', () => {
  for (const [index, step] of STEPS.entries()) {
    for (const other of STEPS.slice(index, index + 2)) {
      expect(isAccepted(step, other), `${index}`).to.equal(true);
      expect(isAccepted(other, step), `${index}`).to.equal(true);
    }
  }
});

it('peer proof: a rotation without its middle steps is refused', () => {
  expect(isAccepted([OLD], [NEW])).to.equal(false);
  expect(isAccepted([NEW, OLD], [OLD])).to.equal(false);
});

it('peer proof: holds for the nonces, VMs and incarnations of its two sides only', () => {
  const proof = makeProof(OLD, SUBJECT);
  const changes = [{ nonce: 'other' }, { vmId: 'vm-3' as VmId }, { incarnation: 3 as Incarnation }];
  for (const change of changes) {
    const otherProver = { prover: { ...PROVER, ...change }, verifier: VERIFIER };
    const otherVerifier = { prover: PROVER, verifier: { ...VERIFIER, ...change } };
    expect(isProofValid([OLD], otherProver, proof)).to.equal(false);
    expect(isProofValid([OLD], otherVerifier, proof)).to.equal(false);
  }
  expect(isProofValid([OLD], { prover: VERIFIER, verifier: PROVER }, proof)).to.equal(false);
  expect(isProofValid([OLD], SUBJECT, '')).to.equal(false);
});
