import type { DataCentre, ServiceName, ShardId, UpstreamId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { listOwners, listShards, listShardsByDistance, type ShardEngine } from './shards.js';

function makeEngines(count: number, dataCentres: readonly string[]): ShardEngine[] {
  return Array.from({ length: count }, (_, index) => ({
    upstreamId: `e${index}` as UpstreamId,
    service: 'scribe' as ServiceName,
    dataCentre: (dataCentres[index % dataCentres.length] ?? '') as DataCentre,
  }));
}

const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'] as VmId[];

it('shards: data centres without a slash form one shard', () => {
  expect([...listShards(makeEngines(8, ['a', 'b', 'c'])).keys()]).to.deep.equal(['scribe@default']);
});

it('shards: a large region is split by data centre and the nearest shard comes first', () => {
  const shards = listShards(makeEngines(70, ['south/a', 'south/b']));
  const service = 'scribe' as ServiceName;
  const near = listShardsByDistance(shards, service, 'south/b' as DataCentre);
  expect(near.map(({ shardId }) => shardId)).to.deep.equal(['scribe@south/b', 'scribe@south/a']);
});

it('shards: when a VM goes away, only the shards that it owned change owner', () => {
  for (let index = 0; index < 200; index += 1) {
    const shardId = `s${index}` as ShardId;
    const [owner, next] = listOwners(shardId, VMS);
    for (const removedVm of VMS) {
      const owners = listOwners(
        shardId,
        VMS.filter((vmId) => vmId !== removedVm),
      );
      expect(owners[0]).to.equal(removedVm === owner ? next : owner);
    }
  }
});
