import { spawn } from 'node:child_process';
import { createServer, type AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const PROGRAM = fileURLToPath(new URL('./main.js', import.meta.url));

type Run = { readonly code: number | null; readonly out: string; readonly err: string };

function run(args: readonly string[]): Promise<Run> {
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
  const result = await run([...makeArgs(18_904), '--check-settings']);
  expect(result).to.deep.equal({ code: 0, out: 'settings are valid\n', err: '' });
});

it('daemon: bad settings are listed with 78, a bad flag gives 64', async () => {
  const bad = await run([...makeArgs(18_904), '--log-level', 'loud', '--policy', 'none']);
  expect(bad.code).to.equal(78);
  expect(bad.err.trim().split('\n')).to.have.length(2);
  const flag = await run(['--bogus']);
  expect(flag.code).to.equal(64);
  expect(flag.err).to.match(/--bogus.*--help\.\n$/);
});

it('daemon: a used address is one clear line and 71', async () => {
  const other = createServer();
  await new Promise<void>((resolve) => {
    other.listen(0, HOST, resolve);
  });
  const { port } = other.address() as AddressInfo;
  const { code, err } = await run(makeArgs(port));
  other.close();
  expect(code).to.equal(71);
  expect(err).to.match(new RegExp(`^cannot listen on ${HOST}:${port}: EADDRINUSE.*\\n$`));
});
