/** Knows which parts are in nearly all of the latest prompts of a service. */

import type { PromptPartId, ServiceName } from '@tarragonspool/protocol';

type ServicePrompts = {
  /** The latest prompts, oldest first. */
  readonly prompts: (readonly PromptPartId[])[];
  /** Prompts that have a part. */
  readonly counts: Map<PromptPartId, number>;
};

/** Latest prompts by service. */
export type CommonParts = Map<ServiceName, ServicePrompts>;

const MAX_PROMPTS = 100;
/** Fewer prompts tell nothing. */
const MIN_PROMPTS = 10;
const COMMON_SHARE = 0.9;
const MAX_SERVICES = 100;

/** Makes the state of a VM that has seen no prompt. */
export function makeCommonParts(): CommonParts {
  return new Map();
}

function getPrompts(common: CommonParts, service: ServiceName): ServicePrompts | undefined {
  const known = common.get(service);
  if (known !== undefined || common.size >= MAX_SERVICES) return known;
  const added: ServicePrompts = { prompts: [], counts: new Map() };
  common.set(service, added);
  return added;
}

function countParts(
  counts: Map<PromptPartId, number>,
  parts: readonly PromptPartId[],
  change: 1 | -1,
): void {
  for (const part of new Set(parts)) {
    const count = (counts.get(part) ?? 0) + change;
    if (count > 0) counts.set(part, count);
    else counts.delete(part);
  }
}

/** Adds a prompt that came for a service. */
export function addPrompt(
  common: CommonParts,
  service: ServiceName,
  parts: readonly PromptPartId[],
): void {
  const known = getPrompts(common, service);
  if (known === undefined) return;
  known.prompts.push(parts);
  countParts(known.counts, parts, 1);
  if (known.prompts.length <= MAX_PROMPTS) return;
  const oldest = known.prompts.shift();
  if (oldest !== undefined) countParts(known.counts, oldest, -1);
}

/** Whether a part is in nearly all of the latest prompts of a service. */
export function isCommonPart(common: CommonParts, part: PromptPartId): boolean {
  for (const { prompts, counts } of common.values()) {
    const count = counts.get(part) ?? 0;
    if (prompts.length >= MIN_PROMPTS && count >= COMMON_SHARE * prompts.length) return true;
  }
  return false;
}
