/** The users' workloads: long prompts behind a shared text, short answers, Poisson arrivals. */

import { estimateTokens, PREFIX_BLOCK_CHARACTERS } from '@tarragonspool/core';
import { digestKey } from '../harness/deployment.js';
import type { Random } from './random.js';

/** One calling team. */
export type Caller = { readonly name: string; readonly key: string; readonly priority: number };

/** A user's deployment and workload. */
export type Site = {
  readonly name: 'wickramasinghe' | 'karachi';
  readonly modelService: string;
  readonly ledgerService: string;
  readonly dataCentres: readonly string[];
  readonly objective: 'tail' | 'crest';
  readonly callers: readonly Caller[];
  /** Texts that stand at the start of many prompts. */
  readonly sharedTexts: readonly string[];
};

/** One request of an open-loop run. Times are milliseconds from the run's start. */
export type Arrival = {
  readonly number: number;
  readonly at: number;
  readonly vmIndex: number;
  readonly caller: Caller;
  readonly sharedText: string;
  readonly ownText: string;
  readonly maxTokens: number;
  /** When the client hangs up; undefined if it waits. */
  readonly cancelAt: number | undefined;
};

/** A stretch of constant demand. */
export type Phase = { readonly durationMs: number; readonly ratePerS: number };

/** Target of the first token, from the arrival. */
export const FIRST_TOKEN_MS = 1_100;
const TOKEN_GAP_MS = 79;
const SHARED_CHARACTERS = 4_200;
const MIN_OWN_CHARACTERS = 6_000;
const MAX_OWN_CHARACTERS = 10_000;
/** Shortest and longest answer. */
export const MIN_ANSWER_TOKENS = 28;
export const MAX_ANSWER_TOKENS = 48;
const CANCEL_RANGE_MS = [20, 2_000] as const;
const MS_PER_SECOND = 1_000;

function makeCallers(names: readonly string[]): Caller[] {
  const priorities = [7, 5, 5, 3];
  return names.map((name, index) => ({
    name,
    key: `${name}-key`,
    priority: priorities[index % priorities.length] ?? 5,
  }));
}

function makeText(subject: string, characters: number): string {
  return `${subject}. `.repeat(Math.ceil(characters / (subject.length + 2))).slice(0, characters);
}

/** Both users. */
export const SITES: Record<Site['name'], Site> = {
  wickramasinghe: {
    name: 'wickramasinghe',
    modelService: 'declaration-llm',
    ledgerService: 'quota-ledger',
    dataCentres: ['lk-west/negombo', 'lk-west/colombo', 'lk-west/beruwala'],
    objective: 'tail',
    callers: makeCallers(['harbour-brokers', 'cooperatives', 'quota-desk', 'night-batch']),
    sharedTexts: [
      makeText('Quota rules for coastal vessels', SHARED_CHARACTERS),
      makeText('Quota rules for deep-sea vessels', SHARED_CHARACTERS),
    ],
  },
  karachi: {
    name: 'karachi',
    modelService: 'fairy-scribe',
    ledgerService: 'pillow-ledger',
    dataCentres: ['sindh/saddar', 'sindh/clifton', 'sindh/korangi'],
    objective: 'crest',
    callers: makeCallers(['parents', 'school-clerks', 'libraries', 'archive']),
    sharedTexts: [makeText('Greetings to the children of Sindh', SHARED_CHARACTERS)],
  },
};

/** Rules that approve every caller of a site. */
export function makeSiteRules(site: Site): string {
  const lines: string[] = [];
  for (const { name, key, priority } of site.callers) {
    lines.push(`caller ${name} key-sha256=${digestKey(key)}  # bench`);
    lines.push(`allow ${name} ${site.modelService} priority=${priority}  # bench`);
    lines.push(`allow ${name} ${site.ledgerService} once  # bench`);
  }
  return `${lines.join('\n')}\n`;
}

/** Makes the arrivals of one run. `salt` keeps prompts of several runs apart. */
export function makeArrivals(
  site: Site,
  phases: readonly Phase[],
  cancelShare: number,
  vmCount: number,
  salt: string,
  random: Random,
): Arrival[] {
  const arrivals: Arrival[] = [];
  let phaseStart = 0;
  for (const { durationMs, ratePerS } of phases) {
    const ratePerMs = ratePerS / MS_PER_SECOND;
    let at = phaseStart + random.takeGap(ratePerMs);
    while (at < phaseStart + durationMs) {
      const number = arrivals.length;
      const characters = random.takeInt(MIN_OWN_CHARACTERS, MAX_OWN_CHARACTERS);
      const isCancelled = random.takeFloat() < cancelShare;
      const cancelAt = at + random.takeInt(...CANCEL_RANGE_MS);
      arrivals.push({
        number,
        at,
        vmIndex: random.takeInt(0, vmCount - 1),
        caller: random.take(site.callers),
        sharedText: random.take(site.sharedTexts),
        ownText: makeText(`Entry ${salt} ${number}`, characters),
        maxTokens: random.takeInt(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS),
        cancelAt: isCancelled ? cancelAt : undefined,
      });
      at += random.takeGap(ratePerMs);
    }
    phaseStart += durationMs;
  }
  return arrivals;
}

/** Text of the prompt as the engines see it. */
export function renderArrivalPrompt({ sharedText, ownText }: Arrival): string {
  return `system: ${sharedText}\nuser: ${ownText}`;
}

/** Target of the whole answer, from the arrival. */
export function getAnswerTargetMs({ maxTokens }: Arrival): number {
  return FIRST_TOKEN_MS + TOKEN_GAP_MS * maxTokens;
}

/** Fewest tokens that an engine must prefill once the shared text is in its cache. */
export function countNecessaryTokens(arrival: Arrival): number {
  const sharedCharacters = `system: ${arrival.sharedText}\nuser: `.length;
  const cachedBlocks = Math.floor(sharedCharacters / PREFIX_BLOCK_CHARACTERS);
  const cached = cachedBlocks * estimateTokens('x'.repeat(PREFIX_BLOCK_CHARACTERS));
  return estimateTokens(renderArrivalPrompt(arrival)) - cached;
}

/** Means of the workload, for the computation of capacity. */
export const MEAN_PROMPT_CHARACTERS =
  SHARED_CHARACTERS + (MIN_OWN_CHARACTERS + MAX_OWN_CHARACTERS) / 2;
export const MEAN_ANSWER_TOKENS = (MIN_ANSWER_TOKENS + MAX_ANSWER_TOKENS) / 2;
/** Characters of a prompt that whole cached blocks cover. */
export const CACHED_CHARACTERS =
  Math.floor(SHARED_CHARACTERS / PREFIX_BLOCK_CHARACTERS) * PREFIX_BLOCK_CHARACTERS;
