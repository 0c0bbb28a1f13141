import { spawn } from 'node:child_process';
import { createServer, type AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const PROGRAM = fileURLToPath(new URL('./main.js', import.meta.url));

type DaemonResult = { readonly code: number | null; readonly out: string; readonly err: string };

function runDaemon(args: readonly string[]): Promise<DaemonResult> {
  const child = spawn(process.execPath, [PROGRAM, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH: process.env.PATH },
  });
  let [out, err] = ['', ''];
  child.stdout.on('data', (chunk: Buffer) => {
    out += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    err += chunk.toString();
  });
  return new Promise((resolve) => {
    child.on('close', (code) => resolve({ code, out, err }));
  });
}

function makeArgs(port: number): string[] {
  return [
    ...['--vm-id', 'vm-1', '--data-centre', 'negombo'],
    ...['--caller-listen', `${HOST}:${port}`, '--operator-listen', `${HOST}:18901`],
    ...['--peer-listen', `${HOST}:18902`, '--platform-url', `http://${HOST}:18903`],
    ...['--peer-secrets', 'peer-secret-0123456789', '--operator-token', 'token-0123456789'],
    ...['--log-level', 'silent'],
  ];
}

it('daemon: --check-settings checks and exits', async () => {
  const result = await runDaemon([...makeArgs(18_904), '--check-settings']);
  expect(result).to.deep.equal({ code: 0, out: 'settings are valid\n', err: '' });
});

it('daemon: bad settings are listed and exit with code 78, a bad flag exits with code 64', async () => {
  const bad = await runDaemon([...makeArgs(18_904), '--log-level', 'loud', '--policy', 'none']);
  expect(bad.code).to.equal(78);
  expect(bad.err.trim().split('\n')).to.have.length(2);
  const flag = await runDaemon(['--bogus']);
  expect(flag.code).to.equal(64);
  expect(flag.err).to.match(/--bogus.*--help\.\n$/);
});

it('daemon: an address that is used already gives one clear line and exit code 71', async () => {
  const other = createServer();
  await new Promise<void>((resolve) => {
    other.listen(0, HOST, resolve);
  });
  const { port } = other.address() as AddressInfo;
  const { code, err } = await runDaemon(makeArgs(port));
  other.close();
  expect(code).to.equal(71);
  expect(err).to.match(new RegExp(`^cannot listen on ${HOST}:${port}: EADDRINUSE.*\\n$`));
});
