/** Makes the HTTP interfaces for callers and operators. */

import type { Server } from 'node:http';
import { computeHeldLimits, makeRetryBudget } from '@tarragonspool/core';
import type { Allocation } from '../allocation/allocation-task.js';
import { buildBurnReport, recordTrace } from '../burn/burn-recorder.js';
import { makeAuthenticateFilter } from '../callers/authenticate.js';
import { makeCallerServer, type CallerRoutes } from '../callers/caller-server.js';
import { makeReadBodyFilter } from '../callers/read-body-filter.js';
import { makeDuplicateFilter } from '../claims/duplicate-task.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { MAX_ANSWER_BYTES } from '../intake/request-sizes.js';
import { makeOperatorServer } from '../operators/operator-server.js';
import { buildStatus } from '../operators/status.js';
import { makeChatFilters } from '../requests/chat-filters.js';
import { makeModelListFilter } from '../requests/model-list-filter.js';
import { makeAdmissionFilter } from '../rules/admission-filter.js';
import { readRuleHistory } from '../rules/rule-history.js';
import { isRulesViewCurrent } from '../rules/rules-view.js';
import { makeServiceFilters } from '../services/service-filters.js';
import { findTlsFiles } from '../settings/tls-settings.js';
import { getKeepAliveMs } from '../shutdown/graceful-stop.js';
import type { DaemonState } from './daemon-state.js';

function makeRoutes(state: DaemonState): CallerRoutes {
  const { self, settings, view, directory, metrics, invariants, inboxes, quarantine } = state;
  const { allocation, cancels, claims, duplicates } = inboxes;
  const { objective } = settings;
  const budget = makeRetryBudget();
  const shared = { claims, directory, invariants, metrics };
  const chatParts = { ...self, ...shared, quarantine, allocation, cancels, objective, budget };
  const { memoryMb, maxBodyBytes } = settings;
  const heldBytes = makeHeldBytes(() =>
    computeHeldLimits(memoryMb, { maxBodyBytes, maxAnswerBytes: MAX_ANSWER_BYTES }),
  );
  const readBody = makeReadBodyFilter(maxBodyBytes, { heldBytes });
  const chat = makeChatFilters(chatParts, view, readBody);
  const service = makeServiceFilters({ ...shared, view }, readBody);
  const first = [makeAdmissionFilter(view), makeAuthenticateFilter(view)];
  return {
    chat: [...first, makeDuplicateFilter(duplicates, chat)],
    models: [...first, makeModelListFilter(directory, view)],
    service: [...first, makeDuplicateFilter(duplicates, service)],
  };
}

function isReady({ view, directory, isLeaving }: DaemonState): boolean {
  return !isLeaving && directory.entryVms.length > 0 && isRulesViewCurrent(view, Date.now());
}

/** Makes the interface for callers; the caller of this function starts to listen. */
export function makeDaemonCallerServer(state: DaemonState): Server {
  const { settings, metrics, logger, journal, burn } = state;
  return makeCallerServer({
    routes: makeRoutes(state),
    tls: { files: findTlsFiles(settings, 'caller'), logger },
    journal,
    onEnded: (trace) => recordTrace(burn, metrics, trace),
    isReady: () => isReady(state),
    isLeaving: () => state.isLeaving,
    keepAliveMs: getKeepAliveMs(settings.drainNoticeMs),
    metrics,
    logger,
  });
}

/** Makes the interface for operators; the caller of this function starts to listen. */
export function makeDaemonOperatorServer(state: DaemonState, allocation: Allocation): Server {
  const { self, settings, view, metrics, logger, journal, burn, quarantine, inboxes } = state;
  const { directory, members } = state;
  return makeOperatorServer({
    vmId: self.vmId,
    journal,
    getBurn: () => buildBurnReport(burn, self.vmId, settings.burnTargetPercent, Date.now()),
    token: settings.operatorToken,
    tls: { files: findTlsFiles(settings, 'operator'), logger },
    view,
    rulesInbox: inboxes.rules,
    quarantine,
    metrics,
    logger,
    readHistory: () => readRuleHistory(state.platform.table, view.revision),
    getStatus: () =>
      buildStatus({
        self,
        isLeaving: state.isLeaving,
        rulesRevision: view.revision,
        directory,
        members: members.listMembers(),
        shards: allocation.listShardOwners(),
        journal,
      }),
  });
}
