/**
 * Upper bound of goodput: the same arrivals placed with exact knowledge on a relaxed deployment.
 * docs/design/bench.md states the relaxation.
 */

import type { EngineSettings } from '../engine/engine-settings.js';
import { countPromptTokens } from '../load/load-client.js';
import {
  CACHED_CHARACTERS,
  countNecessaryTokens,
  FIRST_TOKEN_MS,
  getAnswerTargetMs,
  MAX_ANSWER_TOKENS,
  MEAN_ANSWER_TOKENS,
  MEAN_PROMPT_CHARACTERS,
  type Arrival,
} from '../load/workload.js';

/** A job of one pooled machine. Jobs with a later release have a later deadline. */
export type Job = { readonly release: number; readonly deadline: number; readonly work: number };

/** Engines of a deployment. */
export type Pool = {
  readonly engine: EngineSettings;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
};

const CHARACTERS_PER_TOKEN = 4;
const MS_PER_SECOND = 1_000;

function findEnd(jobs: readonly Job[], skipped: number): number {
  let end = -Infinity;
  for (const [index, { release, work }] of jobs.entries()) {
    if (index !== skipped) end = Math.max(end, release) + work;
  }
  return end;
}

function findCheapestRemoval(jobs: readonly Job[]): number {
  let best = jobs.length - 1;
  let bestEnd = findEnd(jobs, best);
  for (const index of jobs.keys()) {
    const end = findEnd(jobs, index);
    if (end < bestEnd) {
      best = index;
      bestEnd = end;
    }
  }
  return best;
}

/**
 * Counts the most jobs that one machine can end in time (Kise, Ibaraki and Mine, 1978): exact
 * where releases and deadlines have the same order. Work is in milliseconds of the machine.
 */
export function countMostInTime(jobs: readonly Job[]): number {
  let settled = 0;
  let block: Job[] = [];
  for (const job of jobs) {
    if (findEnd(block, -1) <= job.release) {
      settled += block.length;
      block = [];
    }
    block.push(job);
    if (findEnd(block, -1) > job.deadline) block.splice(findCheapestRemoval(block), 1);
  }
  return settled + block.length;
}

function getFullStepMs({ stepMs, stepMsPerStream, decodePlaces }: EngineSettings): number {
  return stepMs + stepMsPerStream * decodePlaces;
}

function getTransferMs(engine: EngineSettings, promptTokens: number): number {
  return (promptTokens * engine.kvBytesPerToken) / engine.linkBytesPerMs;
}

/** Requests a second that the engines can serve, from their stated speeds and mean sizes. */
export function predictCapacity({ engine, prefillEngines, decodeEngines }: Pool): number {
  const promptTokens = MEAN_PROMPT_CHARACTERS / CHARACTERS_PER_TOKEN;
  const workTokens = (MEAN_PROMPT_CHARACTERS - CACHED_CHARACTERS) / CHARACTERS_PER_TOKEN;
  const prefillMs = workTokens / engine.prefillTokensPerMs;
  const transferMs = getTransferMs(engine, promptTokens);
  const heldMs = transferMs + MEAN_ANSWER_TOKENS * getFullStepMs(engine);
  const perMs = Math.min(
    prefillEngines / prefillMs,
    prefillEngines / transferMs,
    (decodeEngines * engine.decodePlaces) / heldMs,
  );
  return perMs * MS_PER_SECOND;
}

/** Counts the most arrivals that any placement could serve within both targets. */
export function findBound(pool: Pool, arrivals: readonly Arrival[]): number {
  const { engine, prefillEngines, decodeEngines } = pool;
  const waited = arrivals.filter(({ cancelAt }) => cancelAt === undefined);
  const promptTokens = waited.map(countPromptTokens);
  const leastTransferMs = getTransferMs(engine, Math.min(...promptTokens));
  const afterPrefillMs = leastTransferMs + engine.stepMs + engine.stepMsPerStream;
  const prefills = waited.map((arrival) => ({
    release: arrival.at,
    deadline: arrival.at + FIRST_TOKEN_MS - afterPrefillMs,
    work: countNecessaryTokens(arrival) / engine.prefillTokensPerMs / prefillEngines,
  }));
  const tokensPerMs = (decodeEngines * engine.decodePlaces) / getFullStepMs(engine);
  const decodes = waited.map((arrival) => ({
    release: arrival.at,
    deadline: arrival.at + getAnswerTargetMs({ ...arrival, maxTokens: MAX_ANSWER_TOKENS }),
    work: arrival.maxTokens / tokensPerMs,
  }));
  return Math.min(countMostInTime(prefills), countMostInTime(decodes));
}
