/**
 * Divides engines into shards and names the VM that owns each. A shard is the engines of one model
 * service in one region. A data centre named `region/site` lies in that region; data centres
 * without a slash form one region together. A region with many engines of a service is split by
 * data centre.
 */

import type { DataCentre, ServiceName, ShardId, UpstreamId, VmId } from '@tarragonspool/protocol';
import { hasher } from '../hashing/hasher.js';

/** The properties of an engine that determine its shard. */
export type ShardEngine = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly dataCentre: DataCentre;
};

/** Engines of one service whose slots one allocator assigns. */
export type Shard = {
  readonly shardId: ShardId;
  readonly service: ServiceName;
  readonly region: string;
  /** Undefined unless the region is split by data centre. */
  readonly dataCentre: DataCentre | undefined;
  readonly engines: ReadonlySet<UpstreamId>;
};

/** Shards by id. */
export type ShardMap = ReadonlyMap<ShardId, Shard>;

/** A region with more engines of a service than this is split by data centre. */
export const MAX_REGION_ENGINES = 64;
const UNNAMED_REGION = 'default';

/** Returns the region of a data centre: the part of its name before the slash. */
export function findRegion(dataCentre: DataCentre): string {
  const slash = dataCentre.indexOf('/');
  return slash < 0 ? UNNAMED_REGION : dataCentre.slice(0, slash);
}

function addToGroup<K, V>(groups: Map<K, V[]>, key: K, value: V): void {
  const group = groups.get(key);
  if (group === undefined) groups.set(key, [value]);
  else group.push(value);
}

function makeShard(members: readonly ShardEngine[], isSplit: boolean): Shard | undefined {
  const [first] = members;
  if (first === undefined) return undefined;
  const { service } = first;
  const region = findRegion(first.dataCentre);
  const dataCentre = isSplit ? first.dataCentre : undefined;
  return {
    shardId: `${service}@${dataCentre ?? region}` as ShardId,
    service,
    region,
    dataCentre,
    engines: new Set(members.map(({ upstreamId }) => upstreamId)),
  };
}

/** Groups engines into shards. */
export function listShards(engines: Iterable<ShardEngine>): ShardMap {
  const regions = new Map<string, ShardEngine[]>();
  for (const engine of engines) {
    addToGroup(regions, `${engine.service}@${findRegion(engine.dataCentre)}`, engine);
  }
  const shards = new Map<ShardId, Shard>();
  for (const members of regions.values()) {
    const isSplit = members.length > MAX_REGION_ENGINES;
    const groups = new Map<string, ShardEngine[]>();
    for (const engine of members) addToGroup(groups, isSplit ? engine.dataCentre : '', engine);
    for (const group of groups.values()) {
      const shard = makeShard(group, isSplit);
      if (shard !== undefined) shards.set(shard.shardId, shard);
    }
  }
  return shards;
}

/** Returns 0 for a shard of the same data centre, 1 for the same region, 2 for another region. */
function measureDistance(shard: Shard, dataCentre: DataCentre): number {
  if (shard.dataCentre === dataCentre) return 0;
  return shard.region === findRegion(dataCentre) ? 1 : 2;
}

/** Lists the shards of a service, the nearest to a data centre first. */
export function listShardsByDistance(
  shards: ShardMap,
  service: ServiceName,
  dataCentre: DataCentre,
): Shard[] {
  const found: Shard[] = [];
  for (const shard of shards.values()) {
    if (shard.service === service) found.push(shard);
  }
  return found.sort(
    (a, b) =>
      measureDistance(a, dataCentre) - measureDistance(b, dataCentre) ||
      (a.shardId < b.shardId ? -1 : 1),
  );
}

/**
 * Ranks VMs as owners of a shard by rendezvous hashing. All VMs that have the same VM list compute
 * the same ranking, and when a VM goes away only the shards that it owned change owner.
 */
export function listOwners(shardId: ShardId, vmIds: Iterable<VmId>): VmId[] {
  const weighted: { readonly vmId: VmId; readonly weight: bigint }[] = [];
  for (const vmId of vmIds) weighted.push({ vmId, weight: hasher.h64(`${shardId}|${vmId}`) });
  weighted.sort((a, b) => {
    if (a.weight === b.weight) return a.vmId < b.vmId ? -1 : 1;
    return a.weight > b.weight ? -1 : 1;
  });
  return weighted.map(({ vmId }) => vmId);
}
