import { expect } from 'chai';
import { callJson, startDeployment } from '../harness/deployment.js';
import { waitUntil } from '../harness/processes.js';
import { runLoad } from '../load/load-client.js';
import { makeRandom } from '../load/random.js';
import { makeArrivals, makeSiteRules, SITES } from '../load/workload.js';

const QUIET_TIMEOUT_MS = 20_000;

it('bench: a light run answers each request with its own text and leaves no memory held', async () => {
  const site = SITES.karachi;
  const deployment = await startDeployment({
    basePort: 21_600,
    entryVms: 2,
    prefillEngines: 1,
    decodeEngines: 1,
    ledgers: 0,
    modelService: site.modelService,
    ledgerService: site.ledgerService,
    dataCentres: site.dataCentres,
  });
  try {
    const { code, output } = await deployment.applyRules(makeSiteRules(site));
    expect(code, output).to.equal(0);
    const phases = [{ durationMs: 4_000, ratePerS: 2 }];
    const arrivals = makeArrivals(site, phases, 0, 2, 'smoke', makeRandom(1));
    const callerUrls = deployment.entryVms.map(({ callerUrl }) => callerUrl);
    const options = { callerUrls, model: site.modelService, idPrefix: 'bench-smoke' };
    for (const { isTextRight, tokens, arrival } of await runLoad(options, arrivals)) {
      expect(isTextRight).to.equal(true);
      expect(tokens).to.be.at.most(arrival.maxTokens);
    }
    const isQuiet = async (): Promise<boolean> => {
      for (const { url } of deployment.engines) {
        // eslint-disable-next-line no-await-in-loop -- two small reads
        if (((await callJson(`${url}/holds`)) as unknown[]).length > 0) return false;
      }
      return true;
    };
    await waitUntil('quiet', Date.now() + QUIET_TIMEOUT_MS, isQuiet);
  } finally {
    deployment.kill();
  }
});
