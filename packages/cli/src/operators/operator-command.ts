/** Options, calls and errors shared by every command that talks to a daemon. */

import { Command, Option, UsageError } from 'clipanion';
import type { ResultName } from '@tarragonspool/protocol';
import { getExitCode, type ExitName } from '../exit-codes.js';
import { callOperator, type OperatorAnswer, type OperatorCall } from './operator-client.js';

/** An answer that carries no value. */
export type FailedAnswer = Exclude<OperatorAnswer<unknown>, { kind: 'value' }>;

const URL_PATTERN = /^https?:\/\/[^/,\s]+$/;

type ProblemAdvice = { readonly exit: ExitName; readonly next: string };

const REFUSED: ProblemAdvice = { exit: 'refused', next: '' };
const ASK_LATER: ProblemAdvice = {
  exit: 'platform-unavailable',
  next: 'Nothing was changed; try again once the platform is back.',
};

const ADVICE: Partial<Record<ResultName, ProblemAdvice>> = {
  'wrong-operator-token': {
    exit: 'wrong-token',
    next: 'Set --token or TARRAGONSPOOL_OPERATOR_TOKEN to the token of the daemons.',
  },
  'rule-syntax': { exit: 'bad-rules', next: 'Correct the lines and apply the file again.' },
  'stale-revision': {
    exit: 'refused',
    next: 'Run "tarragonspool rules diff FILE", take over the other edit and apply again.',
  },
  'rules-unavailable': ASK_LATER,
  'claim-unavailable': ASK_LATER,
  'edit-unsettled': {
    exit: 'unsettled',
    next: 'Run "tarragonspool rules diff FILE" to see whether it was accepted.',
  },
  'unknown-path': { exit: 'refused', next: 'The daemon is of another version.' },
};

/** Base of commands that talk to a daemon. */
export abstract class OperatorCommand extends Command {
  url = Option.String('--url', '', {
    env: 'TARRAGONSPOOL_OPERATOR_URL',
    description: 'Operator addresses of daemons, with commas between, such as http://IP:port.',
  });

  token = Option.String('--token', '', {
    env: 'TARRAGONSPOOL_OPERATOR_TOKEN',
    description: 'Operator token.',
  });

  json = Option.Boolean('--json', false, { description: 'Prints JSON for scripts.' });

  /** Gets the addresses given; throws a usage error where there is none. */
  protected getUrls(): string[] {
    const urls = this.url.split(',').filter((url) => url !== '');
    if (urls.length === 0) throw new UsageError('Set --url or TARRAGONSPOOL_OPERATOR_URL.');
    if (this.token === '') throw new UsageError('Set --token or TARRAGONSPOOL_OPERATOR_TOKEN.');
    for (const url of urls) {
      if (!URL_PATTERN.test(url)) {
        throw new UsageError(`--url: found ${JSON.stringify(url)}; expected http://IP:port.`);
      }
    }
    return urls;
  }

  /** Calls the first daemon that can be reached. */
  protected async call<T>(call: OperatorCall<T>): Promise<OperatorAnswer<T>> {
    let failed: OperatorAnswer<T> | undefined;
    for (const url of this.getUrls()) {
      // eslint-disable-next-line no-await-in-loop -- one after another until one answers
      const answer = await callOperator({ url, token: this.token }, call);
      if (answer.kind !== 'unreachable') return answer;
      failed ??= answer;
    }
    return failed ?? { kind: 'unreachable', url: this.url, detail: 'no address' };
  }

  /** Calls every daemon given, all at once. */
  protected callAll<T>(call: OperatorCall<T>): Promise<OperatorAnswer<T>[]> {
    const { token } = this;
    return Promise.all(this.getUrls().map((url) => callOperator({ url, token }, call)));
  }

  /** Prints one line that says what failed and what to do next; returns the exit code. */
  protected printFailure(answer: FailedAnswer): number {
    if (answer.kind === 'unreachable') {
      return this.printError(
        'unreachable',
        `cannot reach ${answer.url}: ${answer.detail}. Check --url, or name another daemon.`,
      );
    }
    if (answer.kind === 'lost') {
      return this.printError(
        'unsettled',
        `no answer from ${answer.url}: ${answer.detail}. The change may have been accepted; look before trying again.`,
      );
    }
    const { code, name, title, detail } = answer.problem;
    const advice = ADVICE[name as ResultName] ?? REFUSED;
    const isShort = !detail.includes('\n');
    const text = isShort ? `${title} ${detail}. ` : `${title}\n${detail}\n`;
    return this.printError(advice.exit, `${code} ${text}${advice.next}`.trimEnd());
  }

  /** Prints a line on the error stream and returns the exit code. */
  protected printError(name: ExitName, line: string): number {
    this.context.stderr.write(`${line}\n`);
    return getExitCode(name);
  }

  /** Prints the value as JSON, with null for missing data, or the text for people. */
  protected print(value: unknown, text: string): void {
    const json = JSON.stringify(value, (_key, item: unknown) => item ?? null, 2);
    this.context.stdout.write(this.json ? `${json}\n` : text);
  }
}
