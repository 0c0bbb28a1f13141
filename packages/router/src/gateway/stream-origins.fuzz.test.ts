import type { OriginRecord, StreamOrigin } from '@tarragonspool/core';
import type {
  ContentKey,
  OriginMessage,
  ServiceName,
  SoftwareVersion,
  StreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { pino } from 'pino';
import { makeStreamOriginBook, type StreamOriginBook } from './stream-origins.js';

const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5'] as VmId[];
const HOMES = VMS.slice(0, 3);
const SERVICE = 'llm' as ServiceName;
const VERSIONS = ['v1', 'v1.1', 'v1.2'] as SoftwareVersion[];
const STEP_MS = 100;
const LIFETIME_MS = 15_000;
const CONTENT = 'c' as ContentKey;
const KEY = { streamId: 's' as StreamId, contentKey: CONTENT };
const logger = pino({ level: 'silent' });

type Step = {
  readonly kind: 'begins' | 'resumes' | 'restarts' | 'all-restart' | 'cut' | 'healed' | 'waits';
  readonly vm: VmId;
  readonly version: SoftwareVersion;
};

const STEP = fc.record({
  kind: fc.constantFrom(
    'begins' as const,
    'resumes' as const,
    'resumes' as const,
    'restarts' as const,
    'all-restart' as const,
    'cut' as const,
    'healed' as const,
    'waits' as const,
  ),
  vm: fc.constantFrom(...VMS),
  version: fc.constantFrom(...VERSIONS),
});

type Begun = {
  readonly streamId: StreamId;
  readonly version: SoftwareVersion;
  readonly vm: VmId;
  readonly at: number;
  /** Whether its VM was cut from the others as it began. */
  readonly isCut: boolean;
};

/** VMs with books that are linked unless one of them is cut; timers and messages are played by hand. */
function makeFleet() {
  let now = 0;
  let timers: { at: number; run: () => void }[] = [];
  const cut = new Set<VmId>();
  const books = new Map<VmId, StreamOriginBook>();
  let messages: { from: VmId; to: VmId; message: OriginMessage }[] = [];
  const saved: OriginRecord[] = [];

  function isLinked(one: VmId, other: VmId): boolean {
    return one === other || (!cut.has(one) && !cut.has(other));
  }

  function makeBook(self: VmId): StreamOriginBook {
    return makeStreamOriginBook({
      self,
      listHomes: () => HOMES,
      sendTo: (to, message) => {
        if (!isLinked(self, to)) return false;
        messages.push({ from: self, to, message });
        return true;
      },
      listServices: () => [SERVICE],
      listUsedVersions: () => VERSIONS,
      listEarlierVersions: () => VERSIONS,
      getHorizonMs: () => LIFETIME_MS,
      save: (record) => {
        if (self === HOMES[0]) saved.push(record);
      },
      isSavedRead: () => true,
      readUsed: (_services, onRead) => {
        onRead(VERSIONS.map((softwareVersion) => ({ service: SERVICE, softwareVersion })));
      },
      logger,
      getNow: () => now,
      schedule: (run, delayMs) => {
        const timer = { at: now + delayMs, run };
        timers.push(timer);
        return () => {
          timers = timers.filter((other) => other !== timer);
        };
      },
    });
  }

  function deliverAll(): void {
    while (messages.length > 0) {
      const due = messages;
      messages = [];
      for (const { from, to, message } of due) books.get(to)?.handleMessage(from, message);
    }
  }

  function openLinks(vm: VmId): void {
    for (const other of VMS) {
      if (other === vm || !isLinked(vm, other)) continue;
      books.get(other)?.handleLinkOpened(vm);
      books.get(vm)?.handleLinkOpened(other);
    }
  }

  for (const vm of VMS) books.set(vm, makeBook(vm));
  return {
    books,
    cut,
    openLinks,
    getNow: () => now,
    restart: (vm: VmId) => {
      messages = messages.filter(({ from, to }) => from !== vm && to !== vm);
      books.set(vm, makeBook(vm));
      openLinks(vm);
    },
    restartAll: () => {
      messages = [];
      timers = [];
      for (const vm of VMS) {
        const book = makeBook(vm);
        book.recordSaved(saved);
        books.set(vm, book);
      }
      for (const vm of VMS) openLinks(vm);
    },
    /** Lets time pass; due timers run in order, and messages arrive at once. */
    pass: (milliseconds: number) => {
      const until = now + milliseconds;
      for (;;) {
        deliverAll();
        timers.sort((a, b) => a.at - b.at);
        const [next] = timers;
        if (next === undefined || next.at > until) break;
        timers.shift();
        now = Math.max(now, next.at);
        next.run();
      }
      now = until;
      for (const book of books.values()) book.tick();
      deliverAll();
    },
  };
}

// Guards against a stream that goes on at a version that did not begin it, and against knowledge that is gone with one VM.
it('stream origins: over restarts and cuts no VM is told a wrong version, and a fleet in touch knows each stream', () => {
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 40, size: 'max' }), (steps: readonly Step[]) => {
      const fleet = makeFleet();
      const { books, cut } = fleet;
      const begun: Begun[] = [];
      const faultAt = new Map<VmId, number>();
      for (const { kind, vm, version } of steps) {
        switch (kind) {
          case 'begins': {
            const streamId = `s${begun.length}` as StreamId;
            const origin = { service: SERVICE, softwareVersion: version };
            const expiresAt = fleet.getNow() + LIFETIME_MS;
            books.get(vm)?.recordOwn({ streamId, contentKey: CONTENT, origin, expiresAt });
            begun.push({ streamId, version, vm, at: fleet.getNow(), isCut: cut.has(vm) });
            break;
          }
          case 'resumes': {
            const stream = begun.at(-1);
            if (stream === undefined) break;
            const answers: (StreamOrigin | undefined)[] = [];
            const known = books.get(vm)?.find({ streamId: stream.streamId, contentKey: CONTENT });
            if (known === undefined) {
              books
                .get(vm)
                ?.ask({ streamId: stream.streamId, contentKey: CONTENT }, [SERVICE], (origin) =>
                  answers.push(origin),
                );
              fleet.pass(2_000);
            } else answers.push(known);
            expect(answers).to.have.length(1);
            const [origin] = answers;
            if (origin !== undefined) expect(origin.softwareVersion).to.equal(stream.version);
            // Nobody was cut or restarted since shortly before the stream began, but for its own VM later.
            const isCalm = VMS.every((other) => {
              const at = faultAt.get(other) ?? -Infinity;
              return at < stream.at - STEP_MS || (other === stream.vm && at > stream.at);
            });
            const isAlive = fleet.getNow() < stream.at + LIFETIME_MS;
            if (cut.size === 0 && isCalm && isAlive && !stream.isCut) {
              expect(origin).not.to.equal(undefined);
            }
            break;
          }
          case 'restarts':
            faultAt.set(vm, fleet.getNow());
            fleet.restart(vm);
            break;
          case 'all-restart':
            // What was told to the first home is saved.
            if (cut.size > 0) for (const other of VMS) faultAt.set(other, fleet.getNow());
            fleet.restartAll();
            break;
          case 'cut':
            faultAt.set(vm, fleet.getNow());
            cut.add(vm);
            break;
          case 'healed':
            if (!cut.delete(vm)) break;
            faultAt.set(vm, fleet.getNow());
            fleet.openLinks(vm);
            break;
          case 'waits':
            break;
          default:
            kind satisfies never;
        }
        fleet.pass(STEP_MS);
      }
    }),
  );
});

const CONTENTS = ['c0', 'c1'] as ContentKey[];
const LONG_WAIT_MS = 4_000;

type ContentStep = {
  readonly kind: 'begins' | 'resumes' | 'restarts' | 'all-restart' | 'waits';
  readonly vm: VmId;
  readonly version: SoftwareVersion;
  readonly content: ContentKey;
};

const CONTENT_STEP = fc.record({
  kind: fc.constantFrom(
    'begins' as const,
    'begins' as const,
    'resumes' as const,
    'resumes' as const,
    'restarts' as const,
    'all-restart' as const,
    'waits' as const,
  ),
  vm: fc.constantFrom(...VMS),
  version: fc.constantFrom(...VERSIONS),
  content: fc.constantFrom(...CONTENTS),
});

/** Resumes a stream at a VM; undefined if it is refused. */
function findAt(
  fleet: ReturnType<typeof makeFleet>,
  vm: VmId,
  key: { readonly streamId: StreamId | undefined; readonly contentKey: ContentKey },
): StreamOrigin | undefined {
  const book = fleet.books.get(vm);
  const answers = [book?.find(key)];
  if (answers[0] !== undefined) return answers[0];
  book?.ask(key, [SERVICE], (origin) => answers.push(origin));
  fleet.pass(2_000);
  expect(answers).to.have.length(2);
  return answers[1];
}

// Guards against a caller that names no stream and goes on with another one of the same content.
it('stream origins: a stream that is found by its content goes on at its version, over restarts of one VM or all', () => {
  fc.assert(
    fc.property(
      fc.array(CONTENT_STEP, { maxLength: 30, size: 'max' }),
      (steps: readonly ContentStep[]) => {
        const fleet = makeFleet();
        const begun: (Begun & { content: ContentKey })[] = [];
        for (const wait of [STEP_MS, LIFETIME_MS]) fleet.pass(wait);
        let allRestartedAt = 0;
        for (const { kind, vm, version, content } of steps) {
          const at = fleet.getNow();
          switch (kind) {
            case 'begins': {
              const streamId = `s${begun.length}` as StreamId;
              const origin = { service: SERVICE, softwareVersion: version };
              const record = { streamId, contentKey: content, origin, expiresAt: at + LIFETIME_MS };
              fleet.books.get(vm)?.recordOwn(record);
              begun.push({ streamId, version, vm, at, isCut: false, content });
              break;
            }
            case 'resumes': {
              const stream = begun.find(
                (known) => known.content === content && at + LONG_WAIT_MS < known.at + LIFETIME_MS,
              );
              if (stream === undefined) break;
              const origin = findAt(fleet, vm, { streamId: undefined, contentKey: content });
              if (origin !== undefined) expect(origin.softwareVersion).to.equal(stream.version);
              const isOther = (other: Begun & { content: ContentKey }): boolean =>
                other.content === content &&
                other.version !== stream.version &&
                fleet.getNow() < other.at + LIFETIME_MS + LONG_WAIT_MS;
              const isKnown = fleet.getNow() > allRestartedAt + LIFETIME_MS + LONG_WAIT_MS;
              if (isKnown && !begun.some(isOther)) expect(origin).not.to.equal(undefined);
              break;
            }
            case 'restarts':
              fleet.restart(vm);
              break;
            case 'all-restart':
              allRestartedAt = at;
              fleet.restartAll();
              break;
            case 'waits':
              fleet.pass(LONG_WAIT_MS);
              break;
            default:
              kind satisfies never;
          }
          fleet.pass(STEP_MS);
        }
      },
    ),
  );
});

it('stream origins: homes that restart one after the other know the streams of a VM that is then lost', () => {
  const fleet = makeFleet();
  const origin = { service: SERVICE, softwareVersion: 'v1' as SoftwareVersion };
  fleet.books.get('vm-5' as VmId)?.recordOwn({ ...KEY, origin, expiresAt: LIFETIME_MS });
  fleet.pass(STEP_MS);
  for (const home of HOMES) {
    fleet.restart(home);
    fleet.pass(STEP_MS);
  }
  fleet.restart('vm-5' as VmId);
  const answers: (StreamOrigin | undefined)[] = [];
  fleet.books.get('vm-4' as VmId)?.ask(KEY, [SERVICE], (known) => answers.push(known));
  fleet.pass(2_000);
  expect(answers).to.deep.equal([origin]);
});
