import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { makeLogger, type Logger } from './logger.js';

const SECRET = 'peer-secret-"quoted"-0123';
const TOKEN = 'operator-token-0123456789';
const SOURCE = fileURLToPath(new URL('../../src', import.meta.url));
const LOG_CALL = /logger\s*\.(?:debug|info|warn|error|fatal)\(\s*(?:\{[^}]*\},\s*)?(['"`])(.*?)\1/g;

function captureLog(write: (logger: Logger) => void): string {
  const lines: string[] = [];
  const settings = {
    logLevel: 'debug',
    vmId: 'vm-1',
    peerSecrets: [SECRET],
    operatorToken: TOKEN,
  } as const;
  write(makeLogger(settings, { write: (line) => lines.push(line) }));
  return lines.join('');
}

async function listLogMessages(): Promise<string[]> {
  const messages: string[] = [];
  for (const entry of await readdir(SOURCE, { recursive: true })) {
    if (!entry.endsWith('.ts') || entry.endsWith('.test.ts')) continue;
    // eslint-disable-next-line no-await-in-loop -- a few hundred small files
    const text = await readFile(join(SOURCE, entry), 'utf8');
    for (const [, , message = ''] of text.matchAll(LOG_CALL)) messages.push(message);
  }
  return messages;
}

it('logger: secret fields are not written, however deep', () => {
  const text = captureLog((logger) => {
    logger.info({ authorization: 'Bearer a-key' }, 'test: one');
    logger.info({ headers: { authorization: 'Bearer a-key' } }, 'test: two');
    logger.info({ request: { headers: { authorization: 'Bearer a-key' } } }, 'test: three');
    logger.info({ peer: { proof: 'a-key' }, token: 'a-key' }, 'test: four');
  });
  expect(text).not.to.include('a-key');
  expect(text.match(/\[redacted\]/g)).to.have.length(5);
});

it('logger: configured secrets are blotted out wherever they occur', () => {
  const text = captureLog((logger) => {
    logger.error({ err: new Error(`cannot use ${TOKEN}`) }, 'test: error');
    logger.info({ url: `http://127.0.0.1/?secret=${SECRET}` }, `test: ${SECRET}`);
  });
  expect(text).not.to.include(TOKEN).and.not.to.include('quoted');
  for (const line of text.trim().split('\n')) JSON.parse(line);
});

it('logger: every message has a prefix that the page lists', async () => {
  const page = await readFile(join(SOURCE, '../../../docs/operators/logs.md'), 'utf8');
  const listed = new Set([...page.matchAll(/^\| `([a-z]+):`/gm)].map(([, prefix]) => prefix));
  const messages = await listLogMessages();
  expect(messages).not.to.have.length(0);
  for (const message of messages) {
    expect(listed.has(/^([a-z]+): [A-Za-z]/.exec(message)?.[1]), message).to.equal(true);
  }
});
