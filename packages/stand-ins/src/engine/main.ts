/** Runs a stand-in engine. Usage: node main.js '{"upstreamId":"e1","listen":"127.0.0.1:7100"}' */

import type { AttemptId, DecodeOrder, EngineOrder, PrefillOrder } from '@tarragonspool/protocol';
import { sendJson, startJsonServer } from '../http/json-server.js';
import { parseEngineSettings } from './engine-settings.js';
import { Engine } from './engine.js';

const settings = parseEngineSettings(process.argv[2] ?? '{}');
const engine = new Engine(settings);

startJsonServer(settings.listen, ({ path, body }, response) => {
  const url = new URL(path, 'http://engine');
  switch (url.pathname) {
    case '/prefill':
      engine.startPrefill(body as PrefillOrder, response);
      return;
    case '/decode':
      engine.startDecode(body as DecodeOrder, response);
      return;
    case '/export':
      engine.exportKv((body as { attemptId: AttemptId }).attemptId, response);
      return;
    case '/cancel':
      engine.cancel((body as { attemptId: AttemptId }).attemptId);
      sendJson(response, 200, {});
      return;
    case '/holds':
      sendJson(response, 200, engine.listHolds());
      return;
    case '/load':
      sendJson(response, 200, engine.readLoad());
      return;
    case '/cache-events': {
      const after = Number(url.searchParams.get('after') ?? 0);
      sendJson(response, 200, engine.prefills.cache.readEvents(after, Date.now()));
      return;
    }
    case '/orders':
      engine.takeOrder(body as EngineOrder, response);
      return;
    case '/control/work':
      sendJson(response, 200, Object.fromEntries(engine.work.attempts));
      return;
    case '/control/faults':
      Object.assign(engine.faults, body);
      sendJson(response, 200, engine.faults);
      return;
    default:
      sendJson(response, 404, {});
  }
});
