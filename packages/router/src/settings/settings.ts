/** Settings of the daemon: checked once at start, immutable afterwards. */

import * as z from 'zod';
import {
  addressSchema,
  dataCentreSchema,
  filePathSchema,
  httpUrlSchema,
  makeChoiceSchema,
  makeWholeNumberSchema,
  nameSchema,
  secretListSchema,
  secretSchema,
} from './value-schemas.js';

/** How the daemon chooses engines. */
export const POLICIES = ['ours', 'round-robin', 'least-outstanding', 'two-choices'] as const;
/** What the operator weighs first. */
export const OBJECTIVES = ['tail', 'crest'] as const;

const LOG_LEVELS = ['debug', 'info', 'warn', 'error', 'silent'] as const;
const MIN_BODY_BYTES = 1_024;
const MAX_BODY_BYTES = 67_108_864;
const MIN_MEMORY_MB = 64;
const MAX_MEMORY_MB = 1_048_576;
const MIN_TARGET_PERCENT = 50;
const MAX_TARGET_PERCENT = 99;
const MIN_BURN_SERIES = 16;
const MAX_BURN_SERIES = 50_000;
const MAX_JOURNAL_ENTRIES = 100_000;
const MIN_NOTICE_MS = 100;
const MAX_NOTICE_MS = 120_000;

/** One setting of the table. */
export type SettingEntry = {
  /** What it is for, in one sentence. */
  readonly description: string;
  readonly schema: z.ZodType<unknown, string>;
  /** Value where neither the flag nor the variable is given; undefined if one must be. */
  readonly fallback: string | undefined;
  readonly isSecret: boolean;
};

const REQUIRED = { fallback: undefined, isSecret: false } as const;
const OPTIONAL_FILE = { schema: filePathSchema, fallback: '', isSecret: false } as const;
const REQUIRED_SECRET = { fallback: undefined, isSecret: true } as const;

/**
 * Every setting. The flags, the environment variables, the checks and docs/settings.md follow from
 * this table.
 */
export const SETTINGS = {
  vmId: {
    description: 'Name of this VM, as the platform lists it.',
    schema: nameSchema,
    ...REQUIRED,
  },
  dataCentre: {
    description: 'Data centre of this VM, such as `negombo` or `lk-west/negombo`.',
    schema: dataCentreSchema,
    ...REQUIRED,
  },
  callerListen: {
    description: 'Address for callers and for the balancer.',
    schema: addressSchema,
    ...REQUIRED,
  },
  operatorListen: {
    description: 'Address for operators.',
    schema: addressSchema,
    ...REQUIRED,
  },
  peerListen: {
    description: 'Address for the other entry VMs.',
    schema: addressSchema,
    ...REQUIRED,
  },
  platformUrl: {
    description: 'Address of the platform.',
    schema: httpUrlSchema,
    ...REQUIRED,
  },
  peerSecrets: {
    description: 'Secrets that peers may prove, with commas between; the first is used here.',
    schema: secretListSchema,
    ...REQUIRED_SECRET,
  },
  operatorToken: {
    description: 'Token that operators send.',
    schema: secretSchema,
    ...REQUIRED_SECRET,
  },
  policy: {
    description: 'How engines are chosen.',
    schema: makeChoiceSchema(POLICIES),
    fallback: 'ours',
    isSecret: false,
  },
  objective: {
    description: 'What is weighed first: the tail under stragglers, or service at the crest.',
    schema: makeChoiceSchema(OBJECTIVES),
    fallback: 'tail',
    isSecret: false,
  },
  logLevel: {
    description: 'Least level of the log.',
    schema: makeChoiceSchema(LOG_LEVELS),
    fallback: 'info',
    isSecret: false,
  },
  maxBodyBytes: {
    description: 'Largest body that a caller may send, in bytes.',
    schema: makeWholeNumberSchema(MIN_BODY_BYTES, MAX_BODY_BYTES),
    fallback: '4194304',
    isSecret: false,
  },
  memoryMb: {
    description: 'Memory of this VM, in megabytes; bodies take a thirty-second of it at once.',
    schema: makeWholeNumberSchema(MIN_MEMORY_MB, MAX_MEMORY_MB),
    fallback: '1024',
    isSecret: false,
  },
  burnTargetPercent: {
    description: 'Share of requests that must meet each latency target, in percent.',
    schema: makeWholeNumberSchema(MIN_TARGET_PERCENT, MAX_TARGET_PERCENT),
    fallback: '95',
    isSecret: false,
  },
  burnSeries: {
    description: 'Pairs of caller and service that the burn report keeps apart.',
    schema: makeWholeNumberSchema(MIN_BURN_SERIES, MAX_BURN_SERIES),
    fallback: '4000',
    isSecret: false,
  },
  journalEntries: {
    description: 'Recent requests kept in memory for `request explain`.',
    schema: makeWholeNumberSchema(0, MAX_JOURNAL_ENTRIES),
    fallback: '4000',
    isSecret: false,
  },
  drainNoticeMs: {
    description: 'How long a stopping daemon still takes requests, in milliseconds.',
    schema: makeWholeNumberSchema(MIN_NOTICE_MS, MAX_NOTICE_MS),
    fallback: '6000',
    isSecret: false,
  },
  callerTlsCert: {
    description: 'PEM file of the certificate for callers; empty for plain HTTP.',
    ...OPTIONAL_FILE,
  },
  callerTlsKey: {
    description: 'PEM file of the private key for callers; empty for plain HTTP.',
    ...OPTIONAL_FILE,
  },
  operatorTlsCert: {
    description: 'PEM file of the certificate for operators; empty for plain HTTP.',
    ...OPTIONAL_FILE,
  },
  operatorTlsKey: {
    description: 'PEM file of the private key for operators; empty for plain HTTP.',
    ...OPTIONAL_FILE,
  },
} as const satisfies Record<string, SettingEntry>;

/** Names of the settings. */
export type SettingName = keyof typeof SETTINGS;
/** Checked settings. */
export type Settings = {
  readonly [Name in SettingName]: z.infer<(typeof SETTINGS)[Name]['schema']>;
};
/** Settings as given, before checks. */
export type RawSettings = Partial<Record<SettingName, string>>;

/** Lists the names of every setting, in the order of the table. */
export function listSettingNames(): SettingName[] {
  return Object.keys(SETTINGS) as SettingName[];
}

/** Makes the flag of a setting, such as `--vm-id`. */
export function makeFlag(name: SettingName): string {
  return `--${name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/** Makes the environment variable of a setting, such as `TARRAGONSPOOL_VM_ID`. */
export function makeVariable(name: SettingName): string {
  return `TARRAGONSPOOL_${name.replaceAll(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}
