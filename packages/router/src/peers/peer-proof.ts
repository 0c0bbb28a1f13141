/** Proves knowledge of the shared secret between peers. */

import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Incarnation, VmId } from '@tarragonspool/protocol';

/** What one side of a link says of itself. */
export type ProofSide = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly nonce: string;
};

/** What a proof covers: who proves it to whom, with the nonces of both. */
export type ProofSubject = { readonly prover: ProofSide; readonly verifier: ProofSide };

/** Makes the proof for a subject under one secret. */
export function makeProof(secret: string, { prover, verifier }: ProofSubject): string {
  const text = JSON.stringify([
    prover.vmId,
    prover.incarnation,
    prover.nonce,
    verifier.vmId,
    verifier.incarnation,
    verifier.nonce,
  ]);
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Checks a proof against every accepted secret, so that a secret can be replaced in steps. */
export function isProofValid(
  secrets: readonly string[],
  subject: ProofSubject,
  proof: string,
): boolean {
  const given = Buffer.from(proof);
  for (const secret of secrets) {
    const expected = Buffer.from(makeProof(secret, subject));
    if (given.length === expected.length && timingSafeEqual(given, expected)) return true;
  }
  return false;
}
