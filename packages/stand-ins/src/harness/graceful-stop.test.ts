import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { digestKey, startDeployment, type Deployment } from './deployment.js';
import { waitFor, waitUntil } from './processes.js';

const KEY = 'graceful-stop-test-key';
const START_TIMEOUT_MS = 20_000;

async function applyRules(deployment: Deployment): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'tarragonspool-'));
  const file = join(folder, 'rules.txt');
  const caller = `caller desk key-sha256=${digestKey(KEY)} # test`;
  await writeFile(file, `${caller}\nallow desk scribe # test\n`);
  const { code, output } = await deployment.runCli(['rules', 'apply', file]);
  await rm(folder, { recursive: true });
  expect(code, output).to.equal(0);
}

function postChat(url: string, maxTokens: number): Promise<Response> {
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}` },
    body: JSON.stringify({
      model: 'scribe',
      messages: [{ role: 'user', content: 'Answer at length.' }],
      max_tokens: maxTokens,
      stream: true,
    }),
  });
}

it('graceful stop: a stream that outlasts the notice ends whole, and the VM exits with 0', async () => {
  const deployment = await startDeployment({
    basePort: 21_000,
    entryVms: 2,
    prefillEngines: 1,
    decodeEngines: 1,
    ledgers: 0,
    modelService: 'scribe',
    ledgerService: 'ledger',
    dataCentres: ['a'],
    daemonEnv: { TARRAGONSPOOL_DRAIN_NOTICE_MS: '400' },
  });
  try {
    await applyRules(deployment);
    const [vm] = deployment.entryVms;
    if (vm === undefined) throw new Error('no entry VM');
    const stream = await postChat(vm.callerUrl, 200);
    vm.process.child.kill('SIGTERM');
    const isNotReady = async (): Promise<boolean> =>
      (await fetch(`${vm.callerUrl}/readyz`)).status === 503;
    await waitUntil('not ready', Date.now() + START_TIMEOUT_MS, isNotReady);
    const during = await postChat(vm.callerUrl, 2);
    expect(during.status).to.equal(200);
    expect(during.headers.get('connection')).to.equal('close');
    expect(await during.text()).to.match(/data: \[DONE\]\n\n$/);
    await waitFor(400);
    const text = await stream.text();
    expect(text).to.match(/data: \[DONE\]\n\n$/);
    expect(text).to.include('"completion_tokens":200');
    expect(await vm.process.ended).to.equal(0);
  } finally {
    await deployment.stop();
  }
});
