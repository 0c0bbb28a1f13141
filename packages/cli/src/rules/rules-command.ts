/** What the commands about rules share. */

import { createHash } from 'node:crypto';
import { setTimeout } from 'node:timers/promises';
import {
  acceptedSchema,
  rulesSchema,
  statusSchema,
  type StatusAnswer,
} from '../operators/answers.js';
import type { OperatorAnswer } from '../operators/operator-client.js';
import { OperatorCommand } from '../operators/operator-command.js';
import { getExitCode } from '../exit-codes.js';
import type { RuleFileResult } from './rule-text.js';

/** Default time for a revision to be in force everywhere, in milliseconds. */
export const IN_FORCE_TIMEOUT_MS = 19_000;
const POLL_INTERVAL_MS = 100;
const EDIT_ID_LENGTH = 32;

const MAX_POST_TRIES = 3;
const POST_RETRY_MS = 500;

/** One edit of the rules. */
export type RuleChange = {
  readonly baseRevision: number;
  readonly author: string;
  readonly text: string;
};

/** Makes an id that is the same whenever the same edit is tried again. */
function makeEditId({ baseRevision, author, text }: RuleChange): string {
  const hash = createHash('sha256').update(JSON.stringify([baseRevision, author, text]));
  return hash.digest('hex').slice(0, EDIT_ID_LENGTH);
}

/** Lists the VMs that do not have the revision in force, as far as the daemon asked knows. */
export function listBehind(status: StatusAnswer, revision: number): string[] {
  const revisions = new Map<string, number>([[status.vmId, status.rulesRevision]]);
  for (const peer of status.peers) revisions.set(peer.vmId, peer.rulesRevision);
  const names = new Set([status.vmId, ...status.entryVms]);
  return [...names].filter((vmId) => (revisions.get(vmId) ?? 0) < revision);
}

/** Base of the commands about rules. */
export abstract class RulesCommand extends OperatorCommand {
  protected getRules(): Promise<OperatorAnswer<{ revision: number; text: string }>> {
    return this.call({ path: '/rules', schema: rulesSchema });
  }

  /** Posts an edit, and again while it is unknown whether it was accepted. */
  protected async postEdit(change: RuleChange): Promise<OperatorAnswer<{ revision: number }>> {
    const edit = { ...change, editId: makeEditId(change) };
    for (let tries = 1; ; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- one try after another
      const answer = await this.call({ path: '/rules', schema: acceptedSchema, body: edit });
      const isUnsettled =
        answer.kind === 'lost' ||
        (answer.kind === 'problem' && answer.problem.name === 'edit-unsettled');
      if (!isUnsettled || tries >= MAX_POST_TRIES) return answer;
      // eslint-disable-next-line no-await-in-loop -- one try after another
      await setTimeout(POST_RETRY_MS);
    }
  }

  /** Prints why a file cannot be used; returns the exit code. */
  protected printBadFile(path: string, result: Exclude<RuleFileResult, { kind: 'rules' }>): number {
    if (result.kind === 'unreadable') {
      return this.printError('no-input', `cannot read ${path}: ${result.detail}`);
    }
    for (const { line, found, expected } of result.errors) {
      const shown = JSON.stringify(found);
      this.context.stderr.write(`${path}:${line}: found ${shown}; expected ${expected}\n`);
    }
    return getExitCode('bad-rules');
  }

  /** Waits until every listed VM has the revision in force; the deadline is in epoch ms. */
  protected async awaitInForce(revision: number, deadline: number): Promise<number> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- polls one after another
      const answer = await this.call({ path: '/status', schema: statusSchema });
      if (answer.kind !== 'value') return this.printFailure(answer);
      const behind = listBehind(answer.value, revision);
      if (behind.length === 0 || Date.now() > deadline) {
        return this.printInForce(answer.value, revision, behind);
      }
      // eslint-disable-next-line no-await-in-loop -- polls one after another
      await setTimeout(POLL_INTERVAL_MS);
    }
  }

  private printInForce(status: StatusAnswer, revision: number, behind: readonly string[]): number {
    const total = new Set([status.vmId, ...status.entryVms]).size;
    const count = total - behind.length;
    this.print(
      { revision, total, inForce: count, behind },
      `in force on ${count} of ${total} VMs\n`,
    );
    if (behind.length === 0) return getExitCode('ok');
    const names = behind.join(', ');
    return this.printError(
      'not-in-force',
      `not in force on ${names}. Run "tarragonspool rules wait ${revision}" to go on waiting.`,
    );
  }
}
