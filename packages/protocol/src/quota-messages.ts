/** Messages about what tenants use of their quotas, between entry VMs and the VM that keeps the quotas. */

import * as z from 'zod';

const id = z.string().max(256);
const amount = z.number().finite();
const count = z.number().int().nonnegative();

/** Schemas of the messages about quotas. */
export const quotaMessageSchemas = [
  z.object({
    kind: z.literal('quota-use'),
    start: id,
    sequence: count,
    wantsAll: z.boolean().optional(),
    previousLevels: z.array(z.object({ tenant: id, level: amount })).optional(),
    items: z.array(
      z.object({
        tenant: id,
        used: amount,
        settled: amount,
        settledSequence: count,
        asked: amount.optional(),
      }),
    ),
  }),
  z.object({
    kind: z.literal('quota-levels'),
    start: id,
    number: count,
    share: z.number().nonnegative(),
    answers: z.object({ start: id, sequence: count }).optional(),
    items: z.array(
      z.object({
        tenant: id,
        level: amount,
        used: amount.optional(),
        demand: z.number().nonnegative().optional(),
      }),
    ),
  }),
] as const;

/** What one VM has used of the quota of one tenant. */
export type QuotaUseItem = {
  readonly tenant: string;
  /** Cost of admitted requests less what was given back, since the start of the process. */
  readonly used: number;
  /** Part of `used` that a keeper has confirmed to have charged. */
  readonly settled: number;
  /** Sequence of the report whose reply confirmed the settled part. */
  readonly settledSequence: number;
  /** Cost of admitted and refused requests since the start of the process. */
  readonly asked?: number | undefined;
};

/** Report of a VM to its keeper. */
export type QuotaUseMessage = {
  readonly kind: 'quota-use';
  /** Identifies the start of the sender's process; its counts begin at zero then. */
  readonly start: string;
  /** Rises with each report, so that a late one changes nothing. */
  readonly sequence: number;
  /** Whether the reply is to have the levels of all tenants that are near empty. */
  readonly wantsAll?: boolean | undefined;
  /**
   * Tenants that were near empty at the keeper that the sender used just before, with the highest
   * level that they may have now; absent if it used none.
   */
  readonly previousLevels?: readonly QuotaLevelItem[] | undefined;
  readonly items: readonly QuotaUseItem[];
};

/** Level of one tenant. */
export type QuotaLevelItem = {
  readonly tenant: string;
  /** Cost that may be admitted; below zero if more was admitted than there was. */
  readonly level: number;
  /** Use of the receiver that the level has taken into account; absent in messages to all VMs. */
  readonly used?: number | undefined;
  /** What all VMs together are asked for, as a multiple of the rate. */
  readonly demand?: number | undefined;
};

/** Levels that a keeper sends: the reply to a report, or an update for all VMs. */
export type QuotaLevelsMessage = {
  readonly kind: 'quota-levels';
  /** Identifies the start of the keeper's process. */
  readonly start: string;
  /** Rises with each message of the keeper, so that a late one changes nothing. */
  readonly number: number;
  /** Share of the listed VMs for which the keeper refills. */
  readonly share: number;
  /** Report that is answered; absent in messages to all VMs. */
  readonly answers?: { readonly start: string; readonly sequence: number } | undefined;
  readonly items: readonly QuotaLevelItem[];
};

/** Any message about quotas. */
export type QuotaMessage = QuotaUseMessage | QuotaLevelsMessage;
