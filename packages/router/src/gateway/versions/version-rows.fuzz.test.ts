import {
  listVersions,
  makeVersionHistory,
  recordVersions,
  type UpstreamRecord,
  type VersionHistory,
} from '@tarragonspool/core';
import type { ServiceName, SoftwareVersion, StorePosition } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import type { RowChange, RowWrite } from '../ports.js';
import {
  applyVersionRows,
  isRegistered,
  listRegisteredVersions,
  makeVersionRegistry,
  recordRegistered,
  type VersionRegistry,
} from './version-registry.js';
import { buildEndingWrite, buildMissingWrite, type EngineVersion } from './version-rows.js';

const SERVICE = 'llm' as ServiceName;
const VERSIONS = ['v1', 'v1.1'] as SoftwareVersion[];
const VM_COUNT = 2;
const STEP_MS = 500;
const HORIZON_MS = 2_000;
/** A VM knows the list of servers and the rows that late at most. */
const MAX_LAG_MS = 1_000;

type Step = {
  readonly kind: 'comes' | 'leaves' | 'begins' | 'writes' | 'reads' | 'restarts' | 'all-restart';
  readonly vm: number;
  readonly version: SoftwareVersion;
};

const STEP = fc.record({
  kind: fc.constantFrom(
    'comes' as const,
    'leaves' as const,
    'begins' as const,
    'begins' as const,
    'writes' as const,
    'writes' as const,
    'reads' as const,
    'restarts' as const,
    'all-restart' as const,
  ),
  vm: fc.nat(VM_COUNT - 1),
  version: fc.constantFrom(...VERSIONS),
});

type Vm = {
  readonly registry: VersionRegistry;
  readonly history: VersionHistory;
  listed: readonly EngineVersion[];
  readAt: number;
};

/** A store with rows and servers, and VMs that read it late. */
function makeFleet() {
  let now = 0;
  let position = 0;
  const rows = new Map<string, RowChange>();
  const servers = new Set<SoftwareVersion>();

  function read(vm: Vm): void {
    const record = (): void => recordVersions(vm.history, vm.listed as UpstreamRecord[], now);
    record();
    vm.listed = [...servers].map((softwareVersion) => ({ service: SERVICE, softwareVersion }));
    record();
    applyVersionRows(vm.registry, [...rows.values()], now);
    vm.readAt = now;
  }

  function makeVm(): Vm {
    const registry = makeVersionRegistry();
    const vm = { registry, history: makeVersionHistory(), listed: [], readAt: now };
    read(vm);
    return vm;
  }

  const vms = Array.from({ length: VM_COUNT }, makeVm);

  function transact({ expected, put, remove }: RowWrite): boolean {
    const holds = expected.every((row) => rows.get(row.key)?.position === row.position);
    if (!holds) return false;
    position += 1;
    for (const row of put) rows.set(row.key, { ...row, position: position as StorePosition });
    for (const key of remove) rows.delete(key);
    return true;
  }

  return {
    servers,
    vms,
    makeVm,
    read,
    getNow: () => now,
    write: ({ registry, history, listed }: Vm) => {
      const known = registry.rows ?? new Map();
      const missing = buildMissingWrite(known, listed);
      if (missing !== undefined) {
        if (transact(missing)) recordRegistered(registry, listed);
        return;
      }
      const isUnused = ({ softwareVersion }: EngineVersion): boolean => {
        const seen = listVersions(history, SERVICE, HORIZON_MS, now);
        return seen !== undefined && !seen.includes(softwareVersion);
      };
      const { retiredSince } = registry;
      const seen = { listed, isUnused, retiredSince, removeBefore: now - HORIZON_MS };
      const ending = buildEndingWrite(known, seen);
      if (ending !== undefined) transact(ending);
    },
    pass: () => {
      now += STEP_MS;
      for (const vm of vms) if (now - vm.readAt > MAX_LAG_MS) read(vm);
    },
  };
}

// Guards against VMs that start and take the versions in the store for all at which streams began, while there were others.
it('version rows: over releases and kills of all VMs the rows name the version of each stream that may be resumed', () => {
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 80, size: 'max' }), (steps: readonly Step[]) => {
      const fleet = makeFleet();
      const { servers, vms, getNow } = fleet;
      const begun: { version: SoftwareVersion; until: number }[] = [];
      for (const { kind, vm: index, version } of steps) {
        const vm = vms[index] as Vm;
        switch (kind) {
          case 'comes':
            servers.add(version);
            break;
          case 'leaves':
            servers.delete(version);
            break;
          case 'begins': {
            const engine = { service: SERVICE, softwareVersion: version };
            const isListed = vm.listed.some(({ softwareVersion }) => softwareVersion === version);
            if (!isListed || !isRegistered(vm.registry, engine)) break;
            begun.push({ version, until: getNow() + HORIZON_MS });
            break;
          }
          case 'writes':
            fleet.write(vm);
            break;
          case 'reads':
            fleet.read(vm);
            break;
          case 'restarts':
            vms[index] = fleet.makeVm();
            break;
          case 'all-restart':
            for (const each of vms.keys()) vms[each] = fleet.makeVm();
            break;
          default:
            kind satisfies never;
        }
        const started = fleet.makeVm();
        const named = listRegisteredVersions(started.registry, SERVICE, getNow());
        const open = begun.filter(({ until }) => until > getNow());
        expect(named).to.include.members(open.map((stream) => stream.version));
        fleet.pass();
      }
    }),
  );
});
