import { expect } from 'chai';
import {
  buildTenantDirectory,
  checkKey,
  findRank,
  isSendableKey,
  parseBearerToken,
  parseKeyDigest,
  type KeyDigest,
  type Tenant,
  type TenantEntry,
  type TenantName,
} from './index.js';

/** Stands in for a cryptographic digest, which this package does not compute. */
function digest(text: string): KeyDigest {
  return `digest of ${text}` as KeyDigest;
}

function buildTenant(name: string, priority?: number): Tenant {
  return { name: name as TenantName, priority, quota: undefined };
}

function buildEntry(name: string, ...keys: string[]): TenantEntry {
  return { tenant: buildTenant(name), keys };
}

const { directory } = buildTenantDirectory(
  [buildEntry('desk', 'k1', 'k2'), buildEntry('lab', 'k3')],
  digest,
);

// Guards against callers that are refused because their library writes the scheme in another case.
it('tenants: a key is read after the name of the scheme in any case, and nothing else is a key', () => {
  for (const text of ['Bearer k1', 'bearer k1', 'BEARER  k1 ']) {
    expect(parseBearerToken(text), text).to.equal('k1');
  }
  for (const text of ['', 'Bearer', 'Bearer ', 'k1', 'Basic k1', 'Bearer k1 k2', 'Bearerk1']) {
    expect(parseBearerToken(text), text).to.equal(undefined);
  }
  expect(parseBearerToken(`Bearer ${'k'.repeat(2_048)}`)).to.have.length(2_048);
  expect(parseBearerToken(`Bearer ${'k'.repeat(2_049)}`)).to.equal(undefined);
});

// Guards against keys that are listed and can never be sent, with nothing that says so.
it('tenants: a key with blanks or control characters, or without characters, cannot be sent', () => {
  expect(['k', 'ä', 'a-b._~+/=', 'k'.repeat(512)].every(isSendableKey)).to.equal(true);
  expect(['', ' ', 'a b', 'a\tb', 'a\r\n', '\u007f', 'k'.repeat(513)].some(isSendableKey)).to.equal(
    false,
  );
});

it('tenants: a digest is 64 hexadecimal digits in lower case', () => {
  expect(parseKeyDigest('0a'.repeat(32))).to.equal('0a'.repeat(32));
  for (const text of ['', '0A'.repeat(32), '0a'.repeat(31), '0a'.repeat(33), 'g'.repeat(64)]) {
    expect(parseKeyDigest(text), text).to.equal(undefined);
  }
});

it('tenants: without tenants in the configuration no request needs a key', () => {
  for (const authorization of [undefined, 'Bearer k1', 'Basic x']) {
    const check = checkKey(undefined, { authorization, isPublic: false }, digest);
    expect(check).to.deep.equal({ kind: 'admitted', tenant: undefined });
  }
});

// Guards against requests that are served without a key, and refused with one.
it('tenants: a request needs the key of a tenant', () => {
  const check = (authorization: string | undefined): unknown =>
    checkKey(directory, { authorization, isPublic: false }, digest);
  expect(check(undefined)).to.deep.equal({ kind: 'refused', reason: 'missing-key' });
  for (const wrong of ['', 'Bearer k4', 'Bearer', 'Basic k1', 'k1', 'Bearer desk']) {
    expect(check(wrong), wrong).to.deep.equal({ kind: 'refused', reason: 'wrong-key' });
  }
  expect(check('Bearer k2')).to.deep.equal({ kind: 'admitted', tenant: buildTenant('desk') });
  expect(check('Bearer k3')).to.deep.equal({ kind: 'admitted', tenant: buildTenant('lab') });
});

it('tenants: on a public route a known key names the tenant, and any other one counts as none', () => {
  const check = (authorization: string | undefined): unknown =>
    checkKey(directory, { authorization, isPublic: true }, digest);
  expect(check('Bearer k1')).to.deep.equal({ kind: 'admitted', tenant: buildTenant('desk') });
  for (const other of [undefined, 'Bearer k4', 'Basic k1']) {
    expect(check(other), other).to.deep.equal({ kind: 'admitted', tenant: undefined });
  }
});

it('tenants: a directory without tenants admits no request with or without a key', () => {
  const empty = buildTenantDirectory([], digest).directory;
  for (const authorization of [undefined, 'Bearer k1']) {
    const check = checkKey(empty, { authorization, isPublic: false }, digest);
    expect(check.kind).to.equal('refused');
  }
});

// Guards against a key that belongs to one tenant at one VM and to another one at the next.
it('tenants: a key that two tenants have belongs to the first, with a warning that does not name it', () => {
  const built = buildTenantDirectory(
    [buildEntry('desk', 'secret', 'secret'), buildEntry('lab', 'own', 'secret')],
    digest,
  );
  expect(built.directory.byKey.get(digest('secret'))?.name).to.equal('desk');
  expect(built.directory.byKey.get(digest('own'))?.name).to.equal('lab');
  expect(built.faults).to.deep.equal(['tenant lab: key 2 is a key of tenant desk']);
});

it('tenants: of two entries of one name the first is used, and a key that cannot be sent is left out', () => {
  const built = buildTenantDirectory(
    [buildEntry('desk', 'k1', 'a b'), buildEntry('desk', 'k2')],
    digest,
  );
  expect([...built.directory.byKey.keys()]).to.deep.equal([digest('k1')]);
  expect(built.faults).to.have.length(2);
});

it("tenants: a tenant's priority is the rank of its requests, also 0, and else the route's is", () => {
  expect(findRank(undefined, 3)).to.equal(3);
  expect(findRank(buildTenant('desk'), 3)).to.equal(3);
  expect(findRank(buildTenant('desk', 0), 3)).to.equal(0);
  expect(findRank(buildTenant('desk', 5), 3)).to.equal(5);
});
