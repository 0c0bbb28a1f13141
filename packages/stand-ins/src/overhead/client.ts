/** Closed-loop client of the overhead measurement. */

import { Agent, request } from 'node:http';

/** One kind of call. */
export type Call = {
  readonly host: string;
  readonly port: number;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
};

/** Sends one call and resolves with its time in milliseconds. */
function sendCall(call: Call, agent: Agent): Promise<number> {
  const { host, port, method, path, headers, body } = call;
  const startedAt = performance.now();
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, method, path, headers, agent }, (answer) => {
      if (answer.statusCode !== 200) reject(new Error(`answered ${answer.statusCode}`));
      answer.on('error', reject);
      answer.on('end', () => resolve(performance.now() - startedAt));
      answer.resume();
    });
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

/** Keeps `concurrency` calls under way until the deadline; returns the time of each. */
export async function runCalls(
  call: Call,
  concurrency: number,
  deadline: number,
): Promise<number[]> {
  const agent = new Agent({ keepAlive: true });
  const times: number[] = [];
  const work = async (): Promise<void> => {
    while (Date.now() < deadline) {
      // eslint-disable-next-line no-await-in-loop -- a closed loop
      times.push(await sendCall(call, agent));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  agent.destroy();
  return times;
}
