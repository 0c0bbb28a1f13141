/** HTTP client of one model engine. */

import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  type RequestOptions,
} from 'node:http';
import { makeByteCollector, type OrderFailure } from '@tarragonspool/core';
import {
  parseCacheEvents,
  parseDecodeFrame,
  parseEngineHolds,
  parseLoadReport,
  parsePrefillResult,
  type AttemptId,
  type CacheEventList,
  type DecodeFrame,
  type DecodeOrder,
  type EngineHold,
  type LoadReport,
  type PrefillOrder,
  type PrefillResult,
} from '@tarragonspool/protocol';
import { findExcess } from '../http/size-limit.js';
import { parseJson } from '../json/parse-json.js';
import { probeEngine } from './engine-probe.js';

/** Stops an order that is in flight by closing its connection. */
export type StopOrder = () => void;

/** Receives the outcome of a prefill; called once. */
export type PrefillHandler = (
  outcome:
    | { readonly kind: 'prefilled'; readonly result: PrefillResult }
    | { readonly kind: 'failed'; readonly failure: OrderFailure; readonly detail: string },
) => void;

/** Receives the frames of a decode stream, then `closed` once, with the cause if it broke off. */
export type DecodeHandler = (
  event:
    | { readonly kind: 'frame'; readonly frame: DecodeFrame }
    | { readonly kind: 'closed'; readonly failure: OrderFailure; readonly detail: string },
) => void;

/** Calls to one engine. Deadlines are milliseconds since the epoch. */
export type EngineClient = {
  startPrefill(order: PrefillOrder, onOutcome: PrefillHandler): StopOrder;
  startDecode(order: DecodeOrder, onEvent: DecodeHandler): StopOrder;
  /** Frees all that the engine holds for the attempt; returns whether the engine confirmed it. */
  cancel(attemptId: AttemptId, deadline: number): Promise<boolean>;
  listHolds(deadline: number): Promise<readonly EngineHold[] | undefined>;
  readLoad(deadline: number): Promise<LoadReport | undefined>;
  /** Returns whether the engine's process accepts connections; true if that is unknown. */
  probe(deadline: number): Promise<boolean>;
  /** Lists changes of the prefix cache after a sequence number, or all known ones for -1. */
  readCacheEvents(after: number, deadline: number): Promise<CacheEventList | undefined>;
};

const MAX_LINE_CHARACTERS = 65_536;
/** A list of cache events is the longest answer. */
const MAX_ANSWER_BYTES = 16_777_216;
const DECLINED_STATUSES = new Set([409, 429, 503]);
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);
const JSON_HEADERS = { 'content-type': 'application/json' };

type TextHandler = (status: number | undefined, text: string) => void;

function readText(incoming: IncomingMessage, onText: TextHandler): void {
  const body = makeByteCollector();
  incoming.on('data', (chunk: Buffer) => {
    body.append(chunk);
    if (findExcess(body, MAX_ANSWER_BYTES) !== undefined) {
      incoming.destroy(new Error('answer too large'));
    }
  });
  incoming.on('end', () => onText(incoming.statusCode, body.take().toString()));
  incoming.on('error', (error) => onText(undefined, error.message));
}

function readLines(
  incoming: IncomingMessage,
  onLine: (line: string) => void,
  onEnd: (detail: string) => void,
): void {
  let partialLine = '';
  incoming.setEncoding('utf8');
  incoming.on('data', (chunk: string) => {
    const [rest = '', ...more] = chunk.split('\n');
    const lines = [partialLine + rest, ...more];
    partialLine = lines.pop() ?? '';
    if (partialLine.length > MAX_LINE_CHARACTERS) incoming.destroy(new Error('line too long'));
    for (const line of lines) onLine(line);
  });
  incoming.on('end', () => onEnd('the stream ended'));
  incoming.on('error', (error) => onEnd(error.message));
}

function classifyError(error: NodeJS.ErrnoException): OrderFailure {
  return UNSENT_ERROR_CODES.has(error.code ?? '') ? 'unsent' : 'broken';
}

function classifyStatus(status: number | undefined): OrderFailure {
  return status !== undefined && DECLINED_STATUSES.has(status) ? 'declined' : 'broken';
}

/** Makes a client of the engine at `url` that uses a shared connection pool. */
export function makeEngineClient(url: string, agent: Agent): EngineClient {
  const { hostname, port } = new URL(url);
  // Parsed once, because `request` would parse a URL string again for each request.
  const target: RequestOptions = { host: hostname, port, agent };

  function post(path: string, body: unknown, onAnswer: (incoming: IncomingMessage) => void) {
    const options = { ...target, path, method: 'POST', headers: JSON_HEADERS };
    const outgoing = request(options, onAnswer);
    outgoing.end(JSON.stringify(body));
    return outgoing;
  }

  function callJson(method: 'GET' | 'POST', path: string, deadline: number, body?: unknown) {
    return new Promise<unknown>((resolve) => {
      const outgoing: ClientRequest = request({ ...target, path, method }, (incoming) => {
        readText(incoming, (status, text) => {
          if (status !== 200) {
            resolve(undefined);
            return;
          }
          resolve(parseJson(text));
        });
      });
      const timer = setTimeout(() => outgoing.destroy(), Math.max(0, deadline - Date.now()));
      outgoing.on('close', () => {
        clearTimeout(timer);
        resolve(undefined);
      });
      outgoing.on('error', () => resolve(undefined));
      outgoing.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  return {
    startPrefill(order, onOutcome) {
      let isDone = false;
      const finish: PrefillHandler = (outcome) => {
        if (isDone) return;
        isDone = true;
        onOutcome(outcome);
      };
      const outgoing = post('/prefill', order, (incoming) => {
        readText(incoming, (status, text) => {
          const result = status === 200 ? parsePrefillResult(parseJson(text)) : undefined;
          if (result === undefined) {
            const detail = `prefill: ${status} ${text}`;
            finish({ kind: 'failed', failure: classifyStatus(status), detail });
          } else finish({ kind: 'prefilled', result });
        });
      });
      outgoing.on('error', (error) => {
        finish({ kind: 'failed', failure: classifyError(error), detail: error.message });
      });
      return () => {
        isDone = true;
        outgoing.destroy();
      };
    },

    startDecode(order, onEvent) {
      let isDone = false;
      const close = (detail: string, failure: OrderFailure = 'broken'): void => {
        if (isDone) return;
        isDone = true;
        onEvent({ kind: 'closed', failure, detail });
      };
      const handleLine = (line: string): void => {
        if (isDone || line === '') return;
        const frame = parseDecodeFrame(line);
        if (frame === undefined) close('a frame is malformed');
        else onEvent({ kind: 'frame', frame });
      };
      const outgoing = post('/decode', order, (incoming) => {
        if (incoming.statusCode === 200) {
          readLines(incoming, handleLine, (detail) => close(detail));
          return;
        }
        readText(incoming, (status, text) => {
          close(`decode: ${status} ${text}`, classifyStatus(status));
        });
      });
      outgoing.on('error', (error) => close(error.message, classifyError(error)));
      return () => {
        isDone = true;
        outgoing.destroy();
      };
    },

    probe: (deadline) => probeEngine(hostname, port, deadline),

    async cancel(attemptId, deadline) {
      const answer = await callJson('POST', '/cancel', deadline, { attemptId });
      return answer !== undefined;
    },

    async listHolds(deadline) {
      return parseEngineHolds(await callJson('GET', '/holds', deadline));
    },

    async readLoad(deadline) {
      return parseLoadReport(await callJson('GET', '/load', deadline));
    },

    async readCacheEvents(after, deadline) {
      return parseCacheEvents(await callJson('GET', `/cache-events?after=${after}`, deadline));
    },
  };
}
