import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import {
  forgetUnlistedPaths,
  isCutOff,
  isPathLost,
  listDuePaths,
  makeServerPaths,
  PATH_RETRY_MS,
  recordHeard,
  recordNotOpened,
  recordOpened,
} from './server-paths.js';

const A = { upstreamId: 'a' as UpstreamId, incarnation: 1 };
const B = { upstreamId: 'b' as UpstreamId, incarnation: 1 };

// Guards against one crashed server being taken for a cut of this VM.
it('paths: one server to which no connection opens is lost, and the VM is not cut off', () => {
  const paths = makeServerPaths();
  expect(recordNotOpened(paths, A, 10)).to.equal(true);
  expect(recordNotOpened(paths, A, 20)).to.equal(false);
  expect(isPathLost(paths, A)).to.equal(true);
  expect(isPathLost(paths, B)).to.equal(false);
  expect(isCutOff(paths)).to.equal(false);
});

// Guards against servers that are down, while others answer, being taken for a cut of this VM.
it('paths: a VM that hears a server after others were lost is not cut off', () => {
  const paths = makeServerPaths();
  recordHeard(paths, 5);
  recordNotOpened(paths, A, 10);
  recordNotOpened(paths, B, 20);
  expect(isCutOff(paths)).to.equal(true);
  recordHeard(paths, 30);
  expect(isCutOff(paths)).to.equal(false);
});

// Guards against a way that works again being avoided.
it('paths: a server to which a connection opens is not lost, nor is a later start of it', () => {
  const paths = makeServerPaths();
  recordNotOpened(paths, A, 10);
  expect(isPathLost(paths, { ...A, incarnation: 2 })).to.equal(false);
  expect(recordOpened(paths, A, 20)).to.equal(true);
  expect(isPathLost(paths, A)).to.equal(false);
});

// Guards against a lost way never being tried again.
it('paths: lost ways are tried again, the one first that was tried longest ago', () => {
  const paths = makeServerPaths();
  recordNotOpened(paths, A, 10);
  recordNotOpened(paths, B, 20);
  recordNotOpened(paths, A, 30);
  expect(listDuePaths(paths, 20 + PATH_RETRY_MS)).to.deep.equal(['b']);
  expect(listDuePaths(paths, 30 + PATH_RETRY_MS)).to.deep.equal(['b', 'a']);
});

// Guards against servers that are gone keeping a VM cut off.
it('paths: servers that are not listed any more, or in another start, are forgotten', () => {
  const paths = makeServerPaths();
  recordNotOpened(paths, A, 10);
  recordNotOpened(paths, B, 20);
  forgetUnlistedPaths(paths, new Map([[A.upstreamId, { ...A, incarnation: 2 }]]));
  expect(paths.lost.size).to.equal(0);
});
