/** Shows the whole path: rules, a streamed and a whole answer, a call made once, a refusal. */

import { randomUUID } from 'node:crypto';
import { callJson, digestKey, startDeployment, type Deployment } from '../harness/deployment.js';

type Step = { readonly name: string; readonly isGood: boolean; readonly detail: string };

const CALLER_KEY = 'harbour-brokers-key';
const STRANGER_KEY = 'stranger-key';
const BASE_PORT = 17_000;
const MAX_TOKENS = 12;

function makeRules(): string {
  return [
    `caller harbour-brokers key-sha256=${digestKey(CALLER_KEY)}  # Nimal, quota desk`,
    `caller stranger key-sha256=${digestKey(STRANGER_KEY)}  # Kumari, not approved yet`,
    'allow harbour-brokers declaration-llm priority=7 answer-ms=8000  # Nimal, quota desk',
    'allow harbour-brokers quota-ledger once  # Nimal, quota desk',
    '',
  ].join('\n');
}

async function measureStep(name: string, run: () => Promise<[boolean, string]>): Promise<Step> {
  const startedAt = Date.now();
  const [isGood, detail] = await run().catch((error: unknown): [boolean, string] => [
    false,
    String(error),
  ]);
  return { name, isGood, detail: `${detail} (${Date.now() - startedAt} ms)` };
}

function postChat(url: string, key: string, isStreamed: boolean): Promise<Response> {
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'declaration-llm',
      messages: [{ role: 'user', content: 'Declare the catch. '.repeat(400) }],
      max_tokens: MAX_TOKENS,
      stream: isStreamed,
    }),
  });
}

function postTransfer(url: string, idempotencyKey: string): Promise<Response> {
  return fetch(`${url}/services/quota-ledger/transfers`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${CALLER_KEY}`,
      'content-type': 'application/json',
      'idempotency-key': idempotencyKey,
    },
    body: JSON.stringify({ effect: 'transfer-1', tonnes: 4 }),
  });
}

async function countEffects(deployment: Deployment, name: string): Promise<number> {
  let count = 0;
  for (const ledger of deployment.ledgers) {
    // eslint-disable-next-line no-await-in-loop -- three small reads
    const effects = await callJson(`${ledger.url}/control/effects`);
    count += (effects as Record<string, number>)[name] ?? 0;
  }
  return count;
}

async function runSteps(deployment: Deployment): Promise<Step[]> {
  const urls = deployment.entryVms.map((entryVm) => entryVm.callerUrl);
  const [first = '', second = '', third = ''] = urls;
  const steps: Step[] = [];
  steps.push(
    await measureStep('apply rules', async () => {
      const { code, output } = await deployment.applyRules(makeRules());
      return [code === 0, output.trim().split('\n').at(-1) ?? ''];
    }),
  );
  steps.push(
    await measureStep('streamed answer', async () => {
      const answer = await postChat(second, CALLER_KEY, true);
      const text = await answer.text();
      const events = text.split('\n\n').length - 1;
      return [text.endsWith('data: [DONE]\n\n'), `${answer.status}, ${events} events`];
    }),
  );
  steps.push(
    await measureStep('whole answer', async () => {
      const answer = await postChat(third, CALLER_KEY, false);
      const body = (await answer.json()) as { usage?: { completion_tokens: number } };
      const tokens = body.usage?.completion_tokens;
      return [tokens === MAX_TOKENS, `${answer.status}, ${tokens} tokens`];
    }),
  );
  steps.push(
    await measureStep('transfer sent twice', async () => {
      const key = randomUUID();
      const [one, two] = [await postTransfer(first, key), await postTransfer(second, key)];
      const count = await countEffects(deployment, 'transfer-1');
      const isGood = one.status === 200 && two.status === 200 && count === 1;
      return [isGood, `${one.status} and ${two.status}, ${count} effect`];
    }),
  );
  steps.push(
    await measureStep('caller not approved', async () => {
      const answer = await postChat(first, STRANGER_KEY, false);
      const body = (await answer.json()) as { code: number; ran: string };
      return [body.code === 1006 && body.ran === 'not-run', `${answer.status}, code ${body.code}`];
    }),
  );
  return steps;
}

function printSteps(steps: readonly Step[]): void {
  for (const step of steps) {
    const result = step.isGood ? 'ok    ' : 'FAILED';
    process.stdout.write(`${result}  ${step.name.padEnd(22)} ${step.detail}\n`);
  }
}

function printAddresses(deployment: Deployment): void {
  process.stdout.write('\nRunning until interrupted. Entry VMs:\n');
  for (const { vmId, callerUrl, operatorUrl } of deployment.entryVms) {
    process.stdout.write(`  ${vmId}  callers ${callerUrl}  operators ${operatorUrl}\n`);
  }
  const url = deployment.entryVms[0]?.callerUrl ?? '';
  process.stdout.write(
    `\ncurl -N ${url}/v1/chat/completions -H 'Authorization: Bearer ${CALLER_KEY}' ` +
      `-d '{"model":"declaration-llm","stream":true,"max_tokens":8,` +
      `"messages":[{"role":"user","content":"Hello"}]}'\n`,
  );
}

async function runDemo(): Promise<void> {
  const deployment = await startDeployment({
    basePort: BASE_PORT,
    entryVms: 3,
    prefillEngines: 1,
    decodeEngines: 1,
    ledgers: 2,
    modelService: 'declaration-llm',
    ledgerService: 'quota-ledger',
    dataCentres: ['negombo', 'colombo', 'beruwala'],
  });
  const steps = await runSteps(deployment);
  if (process.argv.includes('--stay')) {
    printSteps(steps);
    printAddresses(deployment);
    await new Promise((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
    steps.length = 0;
  }
  steps.push(
    await measureStep('graceful stop', async () => {
      const failed = await deployment.stop();
      return [failed.length === 0, failed.join(', ') || 'all daemons exited with 0'];
    }),
  );
  printSteps(steps);
  if (steps.some((step) => !step.isGood)) process.exitCode = 1;
}

await runDemo();
