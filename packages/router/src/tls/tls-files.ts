/** Certificates of listeners: read at start, and again whenever the files change. */

import { readFileSync } from 'node:fs';
import type { Server } from 'node:http';
import { createSecureContext, type Server as TlsServer } from 'node:tls';
import type { Logger } from '../logging/logger.js';

/** Paths of a certificate and of its private key, in PEM. */
export type TlsFiles = { readonly certPath: string; readonly keyPath: string };

/** Certificate and private key, in PEM. */
export type TlsMaterial = { readonly cert: string; readonly key: string };

/** Result of reading the files; `at` names the one that cannot be used. */
export type TlsResult =
  | { readonly kind: 'material'; readonly material: TlsMaterial }
  | { readonly kind: 'error'; readonly at: 'cert' | 'key'; readonly detail: string };

const RELOAD_INTERVAL_MS = 5_000;

function getErrorCode(error: unknown): string {
  return (error as NodeJS.ErrnoException).code ?? String(error);
}

function readText(path: string): string | { readonly detail: string } {
  try {
    // eslint-disable-next-line n/no-sync -- a small file, so that start and reload are one step
    return readFileSync(path, 'utf8');
  } catch (error) {
    return { detail: getErrorCode(error) };
  }
}

/** Reads the files and checks that the key belongs to the certificate. */
export function readTlsMaterial(files: TlsFiles): TlsResult {
  const cert = readText(files.certPath);
  if (typeof cert !== 'string') return { kind: 'error', at: 'cert', detail: cert.detail };
  const key = readText(files.keyPath);
  if (typeof key !== 'string') return { kind: 'error', at: 'key', detail: key.detail };
  try {
    createSecureContext({ cert });
  } catch (error) {
    return { kind: 'error', at: 'cert', detail: getErrorCode(error) };
  }
  try {
    createSecureContext({ cert, key });
  } catch (error) {
    return { kind: 'error', at: 'key', detail: getErrorCode(error) };
  }
  return { kind: 'material', material: { cert, key } };
}

/** Makes the step that gives a server changed files; files that cannot be used change nothing. */
export function makeTlsReload(
  server: Server,
  files: TlsFiles,
  material: TlsMaterial,
  logger: Logger,
): () => void {
  let current = material;
  let lastError = '';
  return () => {
    const result = readTlsMaterial(files);
    if (result.kind === 'error') {
      const error = `${result.at}: ${result.detail}`;
      if (error !== lastError) logger.error({ ...files, error }, 'tls: the files cannot be used');
      lastError = error;
      return;
    }
    lastError = '';
    const { cert, key } = result.material;
    if (cert === current.cert && key === current.key) return;
    current = result.material;
    (server as unknown as TlsServer).setSecureContext(current);
    logger.info({ ...files }, 'tls: certificate replaced');
  };
}

/** Looks at the files from time to time until the server closes. */
export function startTlsReload(reload: () => void, server: Server): void {
  const timer = setInterval(reload, RELOAD_INTERVAL_MS);
  server.on('close', () => clearInterval(timer));
}
