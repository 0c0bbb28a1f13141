/** HTTP interface for operators, on an address of its own. */

import { createHash, timingSafeEqual } from 'node:crypto';
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { EditOutcome } from '@tarragonspool/core';
import type {
  EditId,
  Fingerprint,
  Refusal,
  RuleDelta,
  RuleRevision,
  VmId,
} from '@tarragonspool/protocol';
import * as z from 'zod';
import { readBody } from '../http/read-body.js';
import { sendRefusal } from '../http/refusals.js';
import type { BurnReport } from '../burn/burn-recorder.js';
import type { RequestJournal } from '../journal/request-journal.js';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { listQuarantine, releaseContent } from '../quarantine/quarantine-task.js';
import type { Quarantine } from '../quarantine/quarantine-types.js';
import type { RulesInbox } from '../rules/rules-task.js';
import { renderRules, type RulesView } from '../rules/rules-view.js';
import { makeServer, type TlsSource } from '../tls/make-server.js';
import type { DaemonStatus } from './status.js';
import { awaitPromise, makeChannel, offer, receive, startTask, type Task } from '../tasks/tasks.js';

/** What the operator interface works with. */
export type OperatorServerParts = {
  readonly vmId: VmId;
  readonly token: string;
  readonly tls: TlsSource;
  readonly view: RulesView;
  readonly rulesInbox: RulesInbox;
  readonly quarantine: Quarantine;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly getStatus: () => DaemonStatus;
  readonly journal: RequestJournal;
  readonly getBurn: () => BurnReport;
  /** Reads the latest edits, oldest first; undefined while the table is away. */
  readonly readHistory: () => Promise<readonly RuleDelta[] | undefined>;
};

const MAX_RULES_BYTES = 8_388_608;
const BODY_TIMEOUT_MS = 15_000;
const MAX_RELEASE_BYTES = 4_096;
const REQUEST_ROUTE = 'GET /requests/';
const EDIT_TIMEOUT_MS = 12_000;

const releaseSchema = z.object({ fingerprint: z.string().min(16).max(128) });

const editSchema = z.object({
  editId: z.string().min(8).max(128),
  baseRevision: z.number().int().nonnegative(),
  author: z.string().min(1).max(128).default('unknown'),
  text: z.string(),
});

function sendJson(response: ServerResponse, value: unknown): void {
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(value));
}

function digestText(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function isAuthorised(incoming: IncomingMessage, token: string): boolean {
  const given = incoming.headers.authorization ?? '';
  return timingSafeEqual(digestText(given), digestText(`Bearer ${token}`));
}

function parseBody<T>(schema: z.ZodType<T>, body: Buffer): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(body.toString('utf8')));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Makes the server; the caller of this function starts to listen. */
export function makeOperatorServer(parts: OperatorServerParts): Server {
  function sendError(response: ServerResponse, name: Refusal['name'], detail: string): void {
    sendRefusal(response, { name, ran: 'not-run', detail }, Date.now());
  }

  function* handleEdit(incoming: IncomingMessage, response: ServerResponse): Task {
    const deadline = Date.now() + BODY_TIMEOUT_MS;
    const read = yield* awaitPromise(readBody(incoming, MAX_RULES_BYTES, deadline));
    const edit = read.kind === 'body' ? parseBody(editSchema, read.body) : undefined;
    if (edit === undefined) {
      sendError(response, 'invalid-request', 'expected editId, baseRevision and text');
      return;
    }
    const outcome = makeChannel<EditOutcome>(1);
    const editId = edit.editId as EditId;
    const baseRevision = edit.baseRevision as RuleRevision;
    const request = { ...edit, editId, baseRevision, deadline: Date.now() + EDIT_TIMEOUT_MS };
    if (!offer(parts.rulesInbox, { kind: 'edit', edit: request, outcome })) {
      sendError(response, 'rules-unavailable', 'the daemon is overloaded');
      return;
    }
    const result = yield* receive(outcome);
    if (result?.kind === 'accepted') sendJson(response, { revision: result.revision });
    else if (result?.kind === 'refused') sendRefusal(response, result.refusal, Date.now());
    else sendError(response, 'rules-unavailable', 'the daemon is stopping');
  }

  function* handleRelease(incoming: IncomingMessage, response: ServerResponse): Task {
    const deadline = Date.now() + BODY_TIMEOUT_MS;
    const read = yield* awaitPromise(readBody(incoming, MAX_RELEASE_BYTES, deadline));
    const release = read.kind === 'body' ? parseBody(releaseSchema, read.body) : undefined;
    if (release === undefined) {
      sendError(response, 'invalid-request', 'expected fingerprint');
      return;
    }
    const fingerprint = release.fingerprint as Fingerprint;
    sendJson(response, { isReleased: releaseContent(parts.quarantine, fingerprint) });
  }

  function* handleRequest(incoming: IncomingMessage, response: ServerResponse): Task {
    if (!isAuthorised(incoming, parts.token)) {
      sendError(response, 'wrong-operator-token', 'set TARRAGONSPOOL_OPERATOR_TOKEN');
      return;
    }
    const route = `${incoming.method} ${incoming.url}`;
    if (route.startsWith(REQUEST_ROUTE)) {
      const requestId = route.slice(REQUEST_ROUTE.length);
      sendJson(response, { vmId: parts.vmId, requests: parts.journal.find(requestId) });
      return;
    }
    switch (route) {
      case 'GET /rules':
        sendJson(response, { revision: parts.view.revision, text: renderRules(parts.view) });
        return;
      case 'GET /rules/history': {
        const history = yield* awaitPromise(parts.readHistory());
        if (history === undefined) sendError(response, 'rules-unavailable', 'the table is away');
        else sendJson(response, { history });
        return;
      }
      case 'POST /rules':
        yield* handleEdit(incoming, response);
        return;
      case 'GET /quarantine':
        sendJson(response, { entries: listQuarantine(parts.quarantine) });
        return;
      case 'POST /quarantine/release':
        yield* handleRelease(incoming, response);
        return;
      case 'GET /status':
        sendJson(response, parts.getStatus());
        return;
      case 'GET /burn':
        sendJson(response, parts.getBurn());
        return;
      case 'GET /metrics':
        response.setHeader('content-type', parts.metrics.registry.contentType);
        response.end(yield* awaitPromise(parts.metrics.registry.metrics()));
        return;
      default:
        sendError(response, 'unknown-path', route);
    }
  }

  return makeServer(parts.tls, {}, (incoming, response) => {
    startTask(
      'operator',
      () => handleRequest(incoming, response),
      (_name, error) => {
        if (error === undefined) return;
        parts.logger.error({ err: error }, 'operators: request failed');
        sendError(response, 'internal-error', 'see the log');
      },
    );
  });
}
