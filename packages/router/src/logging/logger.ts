/** Structured logs on standard output. */

import { destination, pino, type DestinationStream, type Logger as PinoLogger } from 'pino';
import type { Settings } from '../settings/settings.js';

/** A logger; messages start with the fixed prefix of the part that writes them. */
export type Logger = PinoLogger;

/** Settings that the logger needs. */
export type LoggerSettings = Pick<Settings, 'logLevel' | 'vmId' | 'operatorToken'> & {
  readonly peerSecrets: readonly string[];
};

/** Fields that are never written, at the top or one or two levels down. */
const SECRET_FIELDS = ['authorization', 'token', 'secret', 'secrets', 'proof', 'apiKey'] as const;
const CENSOR = '[redacted]';

function listRedactedPaths(): string[] {
  return SECRET_FIELDS.flatMap((field) => [field, `*.${field}`, `*.*.${field}`]);
}

/** Makes a stream that blots out the secrets wherever they occur in a line. */
function makeScrubbingStream(
  secrets: readonly string[],
  target: DestinationStream,
): DestinationStream {
  const escaped = secrets.map((secret) => JSON.stringify(secret).slice(1, -1));
  return {
    write(line) {
      let text = line;
      for (const secret of escaped) text = text.replaceAll(secret, CENSOR);
      target.write(text);
    },
  };
}

/** Makes the daemon's logger. */
export function makeLogger(
  settings: LoggerSettings,
  target: DestinationStream = destination({ sync: true }),
): Logger {
  const options = {
    level: settings.logLevel,
    base: { vmId: settings.vmId },
    redact: { paths: listRedactedPaths(), censor: CENSOR },
  };
  const secrets = [...settings.peerSecrets, settings.operatorToken];
  return pino(options, makeScrubbingStream(secrets, target));
}
