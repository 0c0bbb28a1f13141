import { createServer, type Server, type ServerResponse } from 'node:http';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import { Cli } from 'clipanion';
import { EXIT_CODES, getExitCode } from './exit-codes.js';
import { makeCli, runCli } from './run-cli.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const GOOD_RULES = 'allow desk llm priority=7  # Nimal\n';

type Answer = (response: ServerResponse, body: string) => void;
type Run = { readonly code: number; readonly out: string; readonly err: string };

const routes = new Map<string, Answer>();
let server: Server;
let url: string;
let folder: string;

function sendValue(value: unknown, status = 200): Answer {
  return (response) => {
    response.statusCode = status;
    response.end(JSON.stringify(value));
  };
}

function sendProblem(code: number, name: string): Answer {
  return sendValue({ code, name, title: 'Title.', detail: 'detail', ran: 'not-run' }, 500);
}

function makeStatus(revision: number, peerRevision = revision): unknown {
  return {
    vmId: 'vm-1',
    dataCentre: 'negombo',
    incarnation: 1,
    isLeaving: false,
    rulesRevision: revision,
    entryVms: ['vm-1', 'vm-2'],
    peers: [{ vmId: 'vm-2', isLeaving: false, rulesRevision: peerRevision, heardAt: 1 }],
    engines: [{ upstreamId: 'llm-1', service: 'llm', role: 'decode', isLeaving: true }],
    servers: [],
  };
}

async function run(args: readonly string[], env: Record<string, string> = {}): Promise<Run> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const access = {
    TARRAGONSPOOL_OPERATOR_URL: url,
    TARRAGONSPOOL_OPERATOR_TOKEN: 'token',
  };
  const context = { ...Cli.defaultContext, stdout, stderr, env: { ...access, ...env } };
  const code = await runCli(args, context);
  return { code, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') };
}

async function findDeadUrl(): Promise<string> {
  const unused = createServer();
  await new Promise<void>((resolve) => {
    unused.listen(0, HOST, resolve);
  });
  const { port } = unused.address() as AddressInfo;
  await new Promise((resolve) => {
    unused.close(resolve);
  });
  return `http://${HOST}:${port}`;
}

async function writeRules(text: string): Promise<string> {
  const file = join(folder, 'rules.txt');
  await writeFile(file, text);
  return file;
}

function expectFailure(result: Run, name: keyof typeof EXIT_CODES, text: string): void {
  expect(result.code).to.equal(getExitCode(name));
  expect(result.err).to.include(text);
  expect(result.err.trim().split('\n')).to.have.length(1);
}

before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'tarragonspool-cli-'));
  server = createServer((incoming, response) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const answer = routes.get(`${incoming.method} ${incoming.url}`);
      if (answer === undefined) sendProblem(1007, 'unknown-path')(response, '');
      else answer(response, Buffer.concat(chunks).toString('utf8'));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  url = `http://${HOST}:${(server.address() as AddressInfo).port}`;
});

after(async () => {
  server.close();
  server.closeAllConnections();
  await rm(folder, { recursive: true });
});

it('command line: a bad flag, command or value is one line and 64', async () => {
  expectFailure(await run(['status', '--bogus']), 'usage', '--bogus');
  expectFailure(await run(['frobnicate']), 'usage', 'Run "tarragonspool --help".');
  expectFailure(await run(['rules', 'wait', 'soon']), 'usage', 'expected a whole number');
  expectFailure(await run(['status', '--url', 'somewhere']), 'usage', 'expected http://IP:port');
  const env = { TARRAGONSPOOL_OPERATOR_TOKEN: '' };
  expectFailure(await run(['status'], env), 'usage', 'TARRAGONSPOOL_OPERATOR_TOKEN');
});

it('command line: a dead daemon is one line and 3, and the next address is tried', async () => {
  const dead = await findDeadUrl();
  expectFailure(await run(['status', '--url', dead]), 'unreachable', 'ECONNREFUSED');
  routes.set('GET /rules', sendValue({ revision: 4, text: GOOD_RULES }));
  const result = await run(['rules', 'show', '--url', `${dead},${url}`]);
  expect(result).to.include({ code: 0, out: `# tarragonspool revision 4\n${GOOD_RULES}` });
});

it('command line: an answer that is not a daemon’s is told apart', async () => {
  routes.set('GET /rules', (response) => response.end('<html>'));
  expectFailure(await run(['rules', 'show']), 'unreachable', 'is this the operator address?');
});

it('command line: a wrong token is one line and 77', async () => {
  routes.set('GET /status', sendProblem(6005, 'wrong-operator-token'));
  expectFailure(await run(['status']), 'wrong-token', '6005');
});

it('rules check: each bad line has its number, and 65', async () => {
  const file = await writeRules(`# tarragonspool revision 3\n${GOOD_RULES}allow desk\nfoo # x\n`);
  const result = await run(['rules', 'check', file]);
  expect(result.code).to.equal(getExitCode('bad-rules'));
  expect(result.err).to.include(`${file}:3: `).and.to.include(`${file}:4: found "foo"`);
  expectFailure(await run(['rules', 'check', 'missing.txt']), 'no-input', 'ENOENT');
});

it('rules diff: shows both sides and ignores order', async () => {
  routes.set('GET /rules', sendValue({ revision: 4, text: 'allow a b # x\nallow c d # y\n' }));
  const same = await run(['rules', 'diff', await writeRules('allow c d  # y\nallow a b # x\n')]);
  expect(same.code).to.equal(0);
  const other = await run(['rules', 'diff', await writeRules('allow c d # y\nallow e f # z\n')]);
  expect(other).to.include({
    code: getExitCode('different'),
    out: '- allow a b # x\n+ allow e f # z\n',
  });
});

it('rules apply: sends the base that the heading names and waits', async () => {
  let sent = '';
  routes.set('GET /rules', sendValue({ revision: 4, text: '' }));
  routes.set('GET /status', sendValue(makeStatus(5)));
  routes.set('POST /rules', (response, body) => {
    sent = body;
    sendValue({ revision: 5 })(response, body);
  });
  const file = await writeRules(`# tarragonspool revision 4\n${GOOD_RULES}`);
  const result = await run(['rules', 'apply', file]);
  expect(result).to.include({ code: 0, err: '' });
  expect(result.out).to.equal('accepted as revision 5\nin force on 2 of 2 VMs\n');
  expect(JSON.parse(sent)).to.include({ baseRevision: 4, text: GOOD_RULES });
});

it('rules apply: a racing edit is refused', async () => {
  routes.set('GET /rules', sendValue({ revision: 6, text: 'allow other llm # Kumari\n' }));
  routes.set('POST /rules', sendProblem(6002, 'stale-revision'));
  const result = await run(['rules', 'apply', await writeRules(GOOD_RULES), '--base', '5']);
  expectFailure(result, 'refused', '6002');
});

it('rules apply: the platform away is 69, an unknown outcome is 6', async () => {
  const file = await writeRules(GOOD_RULES);
  routes.set('GET /rules', sendValue({ revision: 4, text: '' }));
  routes.set('POST /rules', sendProblem(6003, 'rules-unavailable'));
  expectFailure(await run(['rules', 'apply', file]), 'platform-unavailable', '6003');
  routes.set('POST /rules', sendProblem(6004, 'edit-unsettled'));
  expectFailure(await run(['rules', 'apply', file]), 'unsettled', 'rules diff');
  const ids: string[] = [];
  routes.set('POST /rules', (response, body) => {
    ids.push((JSON.parse(body) as { editId: string }).editId);
    response.destroy();
  });
  expectFailure(await run(['rules', 'apply', file]), 'unsettled', 'may have been accepted');
  expect(ids).to.deep.equal(Array(3).fill(ids[0]));
});

it('rules apply: an edit that was accepted and replaced since is told apart', async () => {
  routes.set('GET /rules', sendValue({ revision: 7, text: '' }));
  routes.set('POST /rules', sendValue({ revision: 6 }));
  const result = await run(['rules', 'apply', await writeRules(GOOD_RULES), '--base', '5']);
  expectFailure(result, 'refused', 'accepted before, as revision 6');
});

it('rules history: lists the newest first, with lines on demand', async () => {
  const hunks = [{ at: 0, removed: ['old'], added: ['new', 'newer'] }];
  const edit = { editId: 'e1', author: 'Nimal', acceptedAt: 0, checksum: 'c' };
  const history = [
    { ...edit, revision: 1, change: { kind: 'snapshot' } },
    { ...edit, revision: 2, change: { kind: 'hunks', hunks } },
  ];
  routes.set('GET /rules/history', sendValue({ history }));
  const { out } = await run(['rules', 'history', '--lines']);
  expect(out).to.match(/2 +1970-01-01T00:00:00\.000Z +Nimal +-1 \+2[^]*1 +1970[^]*whole file/);
  expect(out).to.include('  - old\n  + new\n  + newer');
});

it('rules wait: names the VMs that are behind, and 4', async () => {
  routes.set('GET /status', sendValue(makeStatus(9, 8)));
  const result = await run(['rules', 'wait', '9', '--timeout', '0']);
  expectFailure(result, 'not-in-force', 'not in force on vm-2');
});

it('status: shows unheard VMs and leaving upstreams', async () => {
  routes.set('GET /status', sendValue({ ...(makeStatus(3) as object), peers: [] }));
  const { out } = await run(['status']);
  expect(out).to.match(/vm-2 +not heard +- +-/);
  expect(out).to.match(/llm-1 +llm +decode +leaving/);
  expect(JSON.parse((await run(['status', '--json'])).out)).to.have.property('rulesRevision', 3);
});

it('upstream drain: adds one line, again after a race, and undrain removes it', async () => {
  const texts: string[] = [];
  let text = GOOD_RULES;
  routes.set('GET /rules', (response) => sendValue({ revision: 7, text })(response, ''));
  routes.set('GET /status', sendValue(makeStatus(9)));
  routes.set('POST /rules', (response, body) => {
    texts.push((JSON.parse(body) as { text: string }).text);
    const isFirst = texts.length === 1;
    (isFirst ? sendProblem(6002, 'stale-revision') : sendValue({ revision: 8 }))(response, body);
  });
  const drained = await run(['upstream', 'drain', 'llm-1', '--by', 'Nimal']);
  expect(drained.code).to.equal(0);
  expect(texts).to.deep.equal(Array(2).fill(`${GOOD_RULES}drain llm-1  # Nimal\n`));
  text = texts[1] ?? '';
  expect((await run(['upstream', 'undrain', 'llm-1'])).code).to.equal(0);
  expect(texts[2]).to.equal(GOOD_RULES);
  expectFailure(
    await run(['upstream', 'drain', 'llm-9', '--by', 'Nimal']),
    'not-found',
    'no upstream llm-9',
  );
});

it('quarantine: lists and releases', async () => {
  const entry = { fingerprint: 'ab'.repeat(32), crashes: 2, lastUpstream: 'llm-1', expiresAt: 0 };
  routes.set('GET /quarantine', sendValue({ entries: [entry] }));
  expect((await run(['quarantine', 'list'])).out).to.include('1970-01-01T00:00:00.000Z');
  routes.set('POST /quarantine/release', sendValue({ isReleased: false }));
  const result = await run(['quarantine', 'release', entry.fingerprint]);
  expectFailure(result, 'not-found', 'not in quarantine');
  expectFailure(await run(['quarantine', 'release', '../x']), 'usage', 'FINGERPRINT');
});

it('exit codes: the table in docs matches the code', async () => {
  const page = await readFile(new URL('../../../docs/exit-codes.md', import.meta.url), 'utf8');
  const expected = Object.entries(EXIT_CODES).map(
    ([name, { code, meaning }]) => `| ${code} | \`${name}\` | ${meaning} |`,
  );
  const rows = page.split('\n').filter((line) => /^\| \d+ /.test(line));
  expect(rows.map((line) => line.replaceAll(/\s+/g, ' '))).to.deep.equal(expected);
});

it('help: every command has a description and an example', () => {
  for (const { path, description, examples } of makeCli().definitions()) {
    expect(description, path).to.be.a('string');
    expect(examples, path).not.to.equal(undefined);
  }
});

const TRACE = {
  requestId: 'request-1',
  arrivedAt: 1_000,
  path: '/v1/chat/completions',
  result: 'queue-full',
  ran: 'not-run',
  detail: 'full',
  attempts: [{ attemptId: 'request-1.1', askedAt: 1_005, prefill: 'llm-1', outcome: 'unused' }],
};

it('request explain: shows attempts and the refusal', async () => {
  routes.set('GET /requests/request-1', sendValue({ vmId: 'vm-1', requests: [TRACE] }));
  const result = await run(['request', 'explain', 'request-1']);
  expect(result.code).to.equal(0);
  expect(result.out).to.match(/result +queue-full, not-run: full/);
  expect(result.out).to.match(/request-1\.1 +5 ms +- +llm-1/);
});

it('request explain: an id that nobody knows is 5, and dead daemons are named', async () => {
  routes.set('GET /requests/request-2', sendValue({ vmId: 'vm-1', requests: [] }));
  expectFailure(await run(['request', 'explain', 'request-2']), 'not-found', 'vm-1 does not know');
  const dead = await findDeadUrl();
  const result = await run(['request', 'explain', 'request-2', '--url', `${url},${dead}`]);
  expect(result.err).to.include(`cannot reach ${dead}`);
  expectFailure(await run(['request', 'explain', '../etc']), 'usage', 'x-request-id');
});

it('report burn: prints JSON with null for missing data, and writes a page', async () => {
  const counts = { firstToken: { met: 0, total: 0 }, answer: { met: 1, total: 1 } };
  const windows = { '5m': counts, '1h': counts, '6h': counts, '3d': counts };
  const series = [{ callerId: 'desk', service: 'ledger', windows, hours: [] }];
  const now = 1_000_000;
  const burn = { vmId: 'vm-1', startedAt: now, now, targetPercent: 95, maxSeries: 4, series };
  routes.set('GET /burn', sendValue(burn));
  routes.set('GET /status', sendValue(makeStatus(3)));
  const { out } = await run(['report', 'burn', '--json']);
  const report = JSON.parse(out) as { vms: unknown; rows: unknown[] };
  expect(report.vms).to.deep.equal([
    { name: 'vm-1', startedAt: now },
    { name: 'vm-2', startedAt: null },
  ]);
  expect(report.rows).to.have.length(1);
  const page = join(folder, 'burn.html');
  expect((await run(['report', 'burn', '--html', page])).code).to.equal(0);
  expect(await readFile(page, 'utf8')).to.include('<!doctype html>');
  const bad = join(folder, 'missing', 'burn.html');
  expectFailure(await run(['report', 'burn', '--html', bad]), 'no-input', 'ENOENT');
});
