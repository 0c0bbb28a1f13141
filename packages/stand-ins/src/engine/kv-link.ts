/** Link of limited rate over which an engine exports KV cache, one transfer after another. */

import type { ServerResponse } from 'node:http';
import { sendJson } from '../http/json-server.js';

type Transfer = {
  readonly response: ServerResponse;
  readonly answer: unknown;
  readonly onSent: () => void;
  remainingBytes: number;
};

/** An export link. */
export class KvLink {
  private readonly bytesPerMs: number;

  private readonly transfers: Transfer[] = [];

  constructor(bytesPerMs: number) {
    this.bytesPerMs = bytesPerMs;
  }

  get isIdle(): boolean {
    return this.transfers.length === 0;
  }

  /** Queues a transfer; it ends early if the importer goes away. */
  start(response: ServerResponse, bytes: number, answer: unknown, onSent: () => void): void {
    const transfer: Transfer = { response, answer, onSent, remainingBytes: bytes };
    this.transfers.push(transfer);
    response.on('close', () => {
      const at = this.transfers.indexOf(transfer);
      if (at >= 0) this.transfers.splice(at, 1);
    });
  }

  /** Moves bytes for the time that has passed. */
  step(elapsedMs: number): void {
    let budget = elapsedMs * this.bytesPerMs;
    for (;;) {
      const [transfer] = this.transfers;
      if (transfer === undefined || budget <= 0) return;
      const sent = Math.min(budget, transfer.remainingBytes);
      transfer.remainingBytes -= sent;
      budget -= sent;
      if (transfer.remainingBytes > 0) return;
      this.transfers.shift();
      transfer.onSent();
      sendJson(transfer.response, 200, transfer.answer);
    }
  }
}
