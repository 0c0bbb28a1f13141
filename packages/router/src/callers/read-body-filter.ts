/** Reads the body of a request into the exchange. */

import { readBody } from '../http/read-body.js';
import { awaitPromise } from '../tasks/tasks.js';
import { CONTINUE, refuse, type Filter } from './exchange.js';

const BODY_TIMEOUT_MS = 15_000;

/** Makes the filter that reads a whole body of at most `maxBytes` within `timeoutMs`. */
export function makeReadBodyFilter(maxBytes: number, timeoutMs = BODY_TIMEOUT_MS): Filter {
  return function* readWholeBody(exchange) {
    const deadline = exchange.arrivedAt + timeoutMs;
    const result = yield* awaitPromise(readBody(exchange.incoming, maxBytes, deadline));
    switch (result.kind) {
      case 'body':
        exchange.body = result.body;
        return CONTINUE;
      case 'too-large':
        return refuse('body-too-large', `at most ${maxBytes} bytes`);
      case 'timeout':
        return refuse('body-timeout', `within ${timeoutMs} ms`);
      default:
        return refuse('invalid-request', 'the body broke off');
    }
  };
}
