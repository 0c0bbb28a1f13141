/** Settings of the daemon: checked once at start, immutable afterwards. */

import { z } from 'zod';
import {
  addressSchema,
  httpUrlSchema,
  makeChoiceSchema,
  makeWholeNumberSchema,
  nameSchema,
  parseAddress,
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
const MIN_NOTICE_MS = 100;
const MAX_NOTICE_MS = 120_000;

type SettingEntry = {
  /** What it is for, in one sentence. */
  readonly description: string;
  readonly schema: z.ZodType<unknown, string>;
  /** Value where neither the flag nor the variable is given; undefined if one must be. */
  readonly fallback: string | undefined;
  readonly isSecret: boolean;
};

const REQUIRED = { fallback: undefined, isSecret: false } as const;
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
    description: 'Data centre of this VM.',
    schema: nameSchema,
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
  drainNoticeMs: {
    description: 'How long a stopping daemon still takes requests, in milliseconds.',
    schema: makeWholeNumberSchema(MIN_NOTICE_MS, MAX_NOTICE_MS),
    fallback: '6000',
    isSecret: false,
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
/** Result of checking settings. */
export type CheckedSettings =
  | { readonly kind: 'settings'; readonly settings: Settings }
  | { readonly kind: 'errors'; readonly errors: readonly string[] };

const LISTENERS = ['callerListen', 'operatorListen', 'peerListen'] as const;
const ANY_HOST = '0.0.0.0';

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

function renderError(name: SettingName, raw: RawSettings, expected: string): string {
  const value = raw[name];
  const shown = SETTINGS[name].isSecret ? '(secret)' : JSON.stringify(value);
  const found = value === undefined ? 'no value' : `value ${shown}`;
  return `${makeFlag(name)} (${makeVariable(name)}): ${found}; expected ${expected}`;
}

function isClash(one: string, other: string): boolean {
  const [first, second] = [parseAddress(one), parseAddress(other)];
  if (first === undefined || second === undefined || first.port !== second.port) return false;
  return first.host === second.host || first.host === ANY_HOST || second.host === ANY_HOST;
}

function findListenClashes(raw: RawSettings): string[] {
  const errors: string[] = [];
  for (const [index, name] of LISTENERS.entries()) {
    for (const earlier of LISTENERS.slice(0, index)) {
      if (!isClash(raw[name] ?? '', raw[earlier] ?? '')) continue;
      errors.push(renderError(name, raw, `an address that ${makeFlag(earlier)} does not use`));
    }
  }
  return errors;
}

function findSharedToken(raw: RawSettings): string[] {
  const secrets = (raw.peerSecrets ?? '').split(',');
  if (raw.operatorToken === undefined || !secrets.includes(raw.operatorToken)) return [];
  return [renderError('operatorToken', raw, 'a token that is no peer secret')];
}

/** Checks every setting; each error names the flag, the variable, the value and what is expected. */
export function checkSettings(given: RawSettings): CheckedSettings {
  const raw: RawSettings = { ...given };
  const values: Partial<Record<SettingName, unknown>> = {};
  const errors: string[] = [];
  for (const name of listSettingNames()) {
    const entry: SettingEntry = SETTINGS[name];
    raw[name] ??= entry.fallback;
    if (raw[name] === undefined) {
      errors.push(renderError(name, raw, 'a value'));
      continue;
    }
    const parsed = entry.schema.safeParse(raw[name]);
    if (parsed.success) values[name] = parsed.data;
    else errors.push(renderError(name, raw, parsed.error.issues[0]?.message ?? 'another value'));
  }
  errors.push(...findListenClashes(raw), ...findSharedToken(raw));
  if (errors.length > 0) return { kind: 'errors', errors };
  return { kind: 'settings', settings: values as Settings };
}
