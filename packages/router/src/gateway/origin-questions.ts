/** Asks the homes of services where a stream began, and judges by all their answers. */

import {
  findVotedOrigin,
  type OriginVote,
  type StreamKey,
  type StreamOrigin,
} from '@tarragonspool/core';
import type { OriginMessage, ServiceName, VmId } from '@tarragonspool/protocol';
import type { VersionQuestions } from './versions/version-questions.js';

/** Questions of this VM that wait for answers. */
export type OriginQuestions = {
  /** Answers undefined if it is not certain in time. */
  readonly ask: (
    key: StreamKey,
    services: readonly ServiceName[],
    onAnswer: (origin: StreamOrigin | undefined) => void,
  ) => void;
  readonly handleAnswer: (from: VmId, number: string, vote: OriginVote) => void;
};

/** Dependencies of the questions. */
export type OriginQuestionsParts = {
  readonly self: VmId;
  readonly listHomes: (service: ServiceName) => readonly VmId[];
  readonly sendTo: (vmId: VmId, message: OriginMessage) => boolean;
  /** Whether this VM has read what was saved before its start. */
  readonly isSavedRead: () => boolean;
  /** What this VM says itself. */
  readonly buildVote: (key: StreamKey, services: readonly ServiceName[]) => OriginVote;
  /** Asks the store where streams of services may have begun, as of now. */
  readonly readUsed: VersionQuestions['ask'];
  readonly getNow: () => number;
  readonly schedule: (run: () => void, delayMs: number) => () => void;
};

/** A live home answers within this time. */
const ANSWER_TIMEOUT_MS = 200;
/** Homes that are linked after the question are asked at this interval. */
const ASK_INTERVAL_MS = 50;
/** A VM that starts is linked to the homes within this time. */
const LINK_TIME_MS = 1_500;

type Question = {
  readonly key: StreamKey;
  readonly services: readonly ServiceName[];
  readonly onAnswer: (origin: StreamOrigin | undefined) => void;
  readonly asked: Set<VmId>;
  readonly votes: Map<VmId, OriginVote>;
  readonly endsAt: number;
  cancelTimer: () => void;
};

/** Makes the questions of a VM that has just started. */
export function makeOriginQuestions(parts: OriginQuestionsParts): OriginQuestions {
  const { self, listHomes, sendTo, isSavedRead, buildVote, getNow, schedule } = parts;
  const questions = new Map<string, Question>();
  const linkedBy = getNow() + LINK_TIME_MS;
  let questionCount = 0;

  function listOtherHomes({ services }: Question): VmId[] {
    const homes = new Set(services.flatMap((service) => listHomes(service)));
    homes.delete(self);
    return [...homes];
  }

  /** Whether nothing more is to come: a named stream is known, or every home has answered. */
  function isSettled(question: Question): boolean {
    const { key, services, asked, votes } = question;
    const ownVote = buildVote(key, services);
    const isKnown = [ownVote, ...votes.values()].some(({ known }) => known.length > 0);
    if (key.streamId !== undefined && isKnown) return true;
    // A VM that starts knows neither its peers nor the store's rows at first.
    const isInformed = isSavedRead() && ownVote.used !== undefined && asked.size > 0;
    if (getNow() < linkedBy && !isInformed) return false;
    return listOtherHomes(question).every((home) => votes.has(home));
  }

  /** Whether other homes were asked, and all have answered. */
  function isVotedByOthers(question: Question): boolean {
    const { votes } = question;
    return votes.size > 0 && listOtherHomes(question).every((home) => votes.has(home));
  }

  function finishQuestion(number: string, question: Question): void {
    const { key, services, votes, onAnswer, cancelTimer } = question;
    questions.delete(number);
    cancelTimer();
    const all = [buildVote(key, services), ...votes.values()];
    const isNamed = key.streamId !== undefined;
    const origin = findVotedOrigin(all, isNamed);
    const isKnown = all.some(({ known }) => known.length > 0);
    if (isKnown || origin === undefined) {
      onAnswer(origin);
      return;
    }
    // Nobody knows the stream, and what is known of versions may be older than it.
    parts.readUsed(services, (used) => {
      if (used !== undefined) onAnswer(findVotedOrigin([...all, { known: [], used }], isNamed));
      else onAnswer(isVotedByOthers(question) ? origin : undefined);
    });
  }

  function askHomes(number: string): void {
    const question = questions.get(number);
    if (question === undefined) return;
    const { key, services, asked, endsAt } = question;
    if (getNow() >= endsAt || isSettled(question)) {
      finishQuestion(number, question);
      return;
    }
    for (const home of listOtherHomes(question)) {
      if (asked.has(home)) continue;
      const isSent = sendTo(home, { kind: 'stream-origin-request', number, ...key, services });
      if (isSent) asked.add(home);
    }
    question.cancelTimer = schedule(() => askHomes(number), ASK_INTERVAL_MS);
  }

  return {
    ask: (key, services, onAnswer) => {
      questionCount += 1;
      const number = `${questionCount}`;
      const endsAt = Math.max(getNow() + ANSWER_TIMEOUT_MS, linkedBy);
      const progress = { asked: new Set<VmId>(), votes: new Map<VmId, OriginVote>() };
      const question = { key, services, onAnswer, endsAt, ...progress };
      questions.set(number, { ...question, cancelTimer: () => undefined });
      askHomes(number);
    },
    handleAnswer: (from, number, vote) => {
      const question = questions.get(number);
      if (question === undefined) return;
      question.votes.set(from, vote);
      if (isSettled(question)) finishQuestion(number, question);
    },
  };
}
