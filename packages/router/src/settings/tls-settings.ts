/** Finds and checks the certificates that the settings name. */

import { readTlsMaterial, type TlsFiles } from '../tls/tls-files.js';
import { renderSettingError } from './check-settings.js';
import type { Settings } from './settings.js';

/** Listeners that may have a certificate. */
export type TlsListener = 'caller' | 'operator';

const LISTENERS: readonly TlsListener[] = ['caller', 'operator'];

/** Finds the files of a listener; undefined for plain HTTP. */
export function findTlsFiles(settings: Settings, listener: TlsListener): TlsFiles | undefined {
  const certPath = settings[`${listener}TlsCert`];
  const keyPath = settings[`${listener}TlsKey`];
  return certPath === '' ? undefined : { certPath, keyPath };
}

/** Checks that every file named can be read and used; returns the errors. */
export function checkTlsFiles(settings: Settings): string[] {
  const errors: string[] = [];
  for (const listener of LISTENERS) {
    const files = findTlsFiles(settings, listener);
    const result = files && readTlsMaterial(files);
    if (files === undefined || result?.kind !== 'error') continue;
    const isCert = result.at === 'cert';
    const name = isCert ? (`${listener}TlsCert` as const) : (`${listener}TlsKey` as const);
    const value = isCert ? files.certPath : files.keyPath;
    const expected = isCert ? 'a certificate in PEM' : 'the private key of the certificate, in PEM';
    errors.push(renderSettingError(name, value, `${expected} (${result.detail})`));
  }
  return errors;
}
