/** VM list: bytes and processor time of one poll against the number of VMs listed. */

import {
  handleMembershipEvent,
  listShards,
  makeMembershipState,
} from '../../packages/core/dist/index.js';
import { parseVmList } from '../../packages/protocol/dist/index.js';
import { applyVmList, makeDirectory } from '../../packages/router/dist/upstreams/directory.js';
import { measureCpu, measureKept } from './measure.js';

const MODELS = 20;
const DATA_CENTRES = 21;

function makeRecords(count) {
  return Array.from({ length: count }, (_, index) => ({
    kind: 'engine',
    upstreamId: `model-${index % MODELS}-engine-${index}`,
    incarnation: 1_796_354_481_790,
    service: `model-${index % MODELS}`,
    models: [`model-${index % MODELS}`],
    role: index % 2 === 0 ? 'prefill' : 'decode',
    dataCentre: `region-${index % 6}/site-${index % DATA_CENTRES}`,
    state: 'live',
    url: `http://10.${index >> 16}.${(index >> 8) % 256}.${index % 256}:8000`,
    isFencing: true,
  }));
}

/** Measures the VM list. */
export function measureUpstreams() {
  const [bytes, parse, take, memory, shards] = [[], [], [], [], []];
  for (const size of [100, 1_000, 12_000]) {
    const records = makeRecords(size);
    const text = JSON.stringify(records);
    bytes.push({ size, value: Buffer.byteLength(text) });
    const runs = Math.ceil(60_000 / size);
    const list = parseVmList(JSON.parse(text));
    if (list === undefined || list.length !== size) throw new Error('the list does not parse');
    parse.push({ size, value: measureCpu(runs, () => parseVmList(JSON.parse(text))) });
    const state = makeMembershipState('vm-0');
    const directory = makeDirectory();
    const apply = (index) => {
      handleMembershipEvent(state, { kind: 'listed', records: list, now: index });
      applyVmList(directory, list, () => false);
    };
    take.push({ size, value: measureCpu(runs, apply) });
    const build = () => {
      const kept = makeDirectory();
      applyVmList(kept, list, () => false);
      return kept;
    };
    memory.push({ size, value: measureKept(build, 4).bytes });
    const engines = [...directory.engines.values()];
    shards.push({ size, value: measureCpu(runs, () => listShards(engines)) });
  }
  const role = 'VM list';
  const per = 'VM listed';
  return [
    { role, what: 'answer of the platform', unit: 'bytes', per, points: bytes },
    { role, what: 'processor time to parse it', unit: 'µs', per, points: parse },
    { role, what: 'processor time to take it', unit: 'µs', per, points: take },
    { role, what: 'directory', unit: 'bytes', per, points: memory },
    { role, what: 'processor time to divide engines into shards', unit: 'µs', per, points: shards },
  ];
}
