/** Checks settings, each for itself and those that depend on one another. */

import {
  listSettingNames,
  makeFlag,
  makeVariable,
  SETTINGS,
  type RawSettings,
  type SettingEntry,
  type SettingName,
  type Settings,
} from './settings.js';
import { parseAddress } from '../http/parse-address.js';

/** Result of checking settings. */
export type CheckedSettings =
  | { readonly kind: 'settings'; readonly settings: Settings }
  | { readonly kind: 'errors'; readonly errors: readonly string[] };

const LISTENERS = ['callerListen', 'operatorListen', 'peerListen'] as const;
const FILE_PAIRS = [
  ['callerTlsCert', 'callerTlsKey'],
  ['operatorTlsCert', 'operatorTlsKey'],
] as const;
const ANY_HOST = '0.0.0.0';

/** Renders the error about one value; undefined where none was given. */
export function renderSettingError(
  name: SettingName,
  value: string | undefined,
  expected: string,
): string {
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
      errors.push(
        renderSettingError(name, raw[name], `an address that ${makeFlag(earlier)} does not use`),
      );
    }
  }
  return errors;
}

function findSharedToken(raw: RawSettings): string[] {
  const secrets = (raw.peerSecrets ?? '').split(',');
  if (raw.operatorToken === undefined || !secrets.includes(raw.operatorToken)) return [];
  return [renderSettingError('operatorToken', raw.operatorToken, 'a token that is no peer secret')];
}

function findHalfPairs(raw: RawSettings): string[] {
  const errors: string[] = [];
  for (const [cert, key] of FILE_PAIRS) {
    const hasCert = (raw[cert] ?? '') !== '';
    const hasKey = (raw[key] ?? '') !== '';
    if (hasCert && !hasKey) {
      errors.push(renderSettingError(key, raw[key], `a file, as ${makeFlag(cert)} names one`));
    }
    if (hasKey && !hasCert) {
      errors.push(renderSettingError(cert, raw[cert], `a file, as ${makeFlag(key)} names one`));
    }
  }
  return errors;
}

/** Checks every setting; each error names the flag, the variable, the value and what is expected. */
export function checkSettings(given: RawSettings): CheckedSettings {
  const raw: RawSettings = { ...given };
  const values: Partial<Record<SettingName, unknown>> = {};
  const errors: string[] = [];
  for (const name of listSettingNames()) {
    const { fallback, schema } = SETTINGS[name] as SettingEntry;
    raw[name] ??= fallback;
    if (raw[name] === undefined) {
      errors.push(renderSettingError(name, raw[name], 'a value'));
      continue;
    }
    const parsed = schema.safeParse(raw[name]);
    if (parsed.success) {
      values[name] = parsed.data;
      continue;
    }
    const expected = parsed.error.issues[0]?.message ?? 'another value';
    errors.push(renderSettingError(name, raw[name], expected));
  }
  errors.push(...findListenClashes(raw), ...findHalfPairs(raw), ...findSharedToken(raw));
  if (errors.length > 0) return { kind: 'errors', errors };
  return { kind: 'settings', settings: values as Settings };
}
