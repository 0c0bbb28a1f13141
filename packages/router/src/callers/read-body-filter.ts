/** Reads the body of a request into the exchange. */

import { readBody, type BeginBody } from '../http/read-body.js';
import type { HeldBytes } from '../intake/held-bytes.js';
import { awaitPromise } from '../tasks/tasks.js';
import { CONTINUE, refuse, type Filter } from './exchange.js';

const BODY_TIMEOUT_MS = 15_000;
const RETRY_AFTER_MS = 1_000;

/** How long a body may take, and where all bodies are counted; they are not counted if that is absent. */
export type ReadBodyOptions = { readonly timeoutMs?: number; readonly heldBytes?: HeldBytes };

/** Makes the filter that reads a whole body of at most `maxBytes`. */
export function makeReadBodyFilter(
  maxBytes: number,
  { timeoutMs = BODY_TIMEOUT_MS, heldBytes }: ReadBodyOptions = {},
): Filter {
  const beginBody: BeginBody | undefined =
    heldBytes && ((giveUp) => heldBytes.begin('body', giveUp));
  return function* readWholeBody(exchange) {
    const { incoming, response, arrivedAt } = exchange;
    const deadline = arrivedAt + timeoutMs;
    const result = yield* awaitPromise(readBody(incoming, maxBytes, deadline, beginBody));
    switch (result.kind) {
      case 'body': {
        exchange.body = result.body;
        const held = heldBytes?.begin('body');
        held?.update(result.body.length);
        response.once('close', () => held?.end());
        return CONTINUE;
      }
      case 'not-held':
        return refuse('body-not-held', 'too many bodies at once', Date.now() + RETRY_AFTER_MS);
      case 'too-large':
        return refuse('body-too-large', `at most ${maxBytes} bytes`);
      case 'timeout':
        return refuse('body-timeout', `within ${timeoutMs} ms`);
      default:
        return refuse('invalid-request', 'the body broke off');
    }
  };
}
