/** Makes listeners with or without TLS. */

import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Logger } from '../logging/logger.js';
import { makeTlsReload, readTlsMaterial, startTlsReload, type TlsFiles } from './tls-files.js';

/** Where a listener finds its certificate, and where it says that the files cannot be used. */
export type TlsSource = { readonly files: TlsFiles | undefined; readonly logger: Logger };

/** Makes a server; with files it speaks HTTPS only. Throws if the files cannot be used. */
export function makeServer(
  tls: TlsSource | undefined,
  options: ServerOptions,
  handleRequest: RequestListener,
): Server {
  if (tls?.files === undefined) return createServer(options, handleRequest);
  const { files, logger } = tls;
  const result = readTlsMaterial(files);
  if (result.kind === 'error') throw new Error(`${result.at}: ${result.detail}`);
  const { material } = result;
  const server = createTlsServer({ ...options, ...material }, handleRequest);
  startTlsReload(makeTlsReload(server, files, material, logger), server);
  return server;
}
