import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { checkSettings } from './check-settings.js';
import {
  listSettingNames,
  makeFlag,
  makeVariable,
  SETTINGS,
  type RawSettings,
  type SettingName,
} from './settings.js';

const GOOD: RawSettings = {
  vmId: 'vm-1',
  dataCentre: 'negombo',
  callerListen: '127.0.0.1:8080',
  operatorListen: '127.0.0.1:8081',
  peerListen: '127.0.0.1:8082',
  platformUrl: 'http://127.0.0.1:9000',
  peerSecrets: 'old-secret-0123456789,new-secret-0123456789',
  operatorToken: 'operator-token-0123456789',
};

function listErrors(change: RawSettings): readonly string[] {
  const checked = checkSettings({ ...GOOD, ...change });
  return checked.kind === 'errors' ? checked.errors : [];
}

const BAD_VALUES: readonly (readonly [SettingName, string])[] = [
  ['vmId', ''],
  ['vmId', '-vm'],
  ['vmId', 'vm 1'],
  ['vmId', 'v'.repeat(65)],
  ['dataCentre', 'a//b'],
  ['dataCentre', 'a/b/c'],
  ['dataCentre', '/a'],
  ['callerListen', 'localhost:8080'],
  ['callerListen', '127.0.0.256:8080'],
  ['callerListen', '127.0.0:8080'],
  ['callerListen', '0127.0.0.1:8080'],
  ['callerListen', '127.0.0.1'],
  ['callerListen', '127.0.0.1:0'],
  ['callerListen', '127.0.0.1:08080'],
  ['callerListen', '127.0.0.1:65536'],
  ['callerListen', '127.0.0.1:-1'],
  ['callerListen', '127.0.0.1:80:80'],
  ['callerListen', '[::1]:8080'],
  ['operatorListen', ' 127.0.0.1:8081'],
  ['peerListen', '127.0.0.1:1e3'],
  ['platformUrl', '127.0.0.1:9000'],
  ['platformUrl', 'https://127.0.0.1:9000'],
  ['platformUrl', 'http://platform:9000'],
  ['platformUrl', 'http://127.0.0.1:9000/'],
  ['platformUrl', 'http://127.0.0.1:70000'],
  ['peerSecrets', 'short'],
  ['peerSecrets', 'good-secret-0123456789,short'],
  ['peerSecrets', 'good-secret-0123456789,good-secret-0123456789'],
  ['peerSecrets', 's'.repeat(257)],
  ['operatorToken', 'has spaces in its text'],
  ['operatorToken', 'has,comma,in,its,text'],
  ['policy', 'fastest'],
  ['objective', ''],
  ['logLevel', 'INFO'],
  ['maxBodyBytes', '1023'],
  ['maxBodyBytes', '67108865'],
  ['maxBodyBytes', '4e6'],
  ['maxBodyBytes', '-4096'],
  ['maxBodyBytes', '9'.repeat(30)],
  ['memoryMb', '63'],
  ['memoryMb', '1.5e3'],
];

it('settings: good values are taken and defaults filled in', () => {
  const checked = checkSettings(GOOD);
  if (checked.kind !== 'settings') throw new Error(checked.errors.join('\n'));
  expect(checked.settings.callerListen).to.deep.equal({ host: '127.0.0.1', port: 8080 });
  expect(checked.settings.peerSecrets).to.have.length(2);
  expect(checked.settings.maxBodyBytes).to.equal(4_194_304);
  expect(checked.settings.memoryMb).to.equal(1_024);
});

for (const [name, value] of BAD_VALUES) {
  it(`settings: ${makeFlag(name)} refuses ${JSON.stringify(value).slice(0, 60)}`, () => {
    const errors = listErrors({ [name]: value });
    expect(errors).to.have.length(1);
    expect(errors[0]).to.include(`${makeFlag(name)} (${makeVariable(name)})`);
    expect(errors[0]).to.match(/expected .{4,}$/);
    const { isSecret } = SETTINGS[name];
    expect(errors[0]).to.include(isSecret ? '(secret)' : JSON.stringify(value));
    if (isSecret) expect(errors[0]).not.to.include(value);
  });
}

it('settings: every missing value is named at once', () => {
  const checked = checkSettings({});
  const required = listSettingNames().filter((name) => SETTINGS[name].fallback === undefined);
  expect(checked.kind === 'errors' && checked.errors).to.have.length(required.length);
});

it('settings: listeners may not share an address', () => {
  expect(listErrors({ operatorListen: '127.0.0.1:8080' })[0]).to.include('--caller-listen');
  expect(listErrors({ peerListen: '0.0.0.0:8081' })[0]).to.include('--operator-listen');
  expect(listErrors({ peerListen: '127.0.0.2:8081' })).to.deep.equal([]);
});

it('settings: a certificate and its key come together', () => {
  expect(listErrors({ callerTlsCert: 'cert.pem' })[0]).to.include('--caller-tls-key');
  expect(listErrors({ operatorTlsKey: 'key.pem' })[0]).to.include('--operator-tls-cert');
  expect(listErrors({ callerTlsCert: 'cert.pem', callerTlsKey: 'key.pem' })).to.deep.equal([]);
});

it('settings: the operator token may not be a peer secret', () => {
  const [error] = listErrors({ operatorToken: 'new-secret-0123456789' });
  expect(error).to.include('--operator-token').and.not.to.include('new-secret');
});

it('settings: every default passes its own check', () => {
  for (const name of listSettingNames()) {
    const { fallback, schema } = SETTINGS[name];
    if (fallback !== undefined) expect(schema.safeParse(fallback).success, name).to.equal(true);
  }
});

it('settings: the table in docs matches the code', async () => {
  const page = await readFile(new URL('../../../../docs/settings.md', import.meta.url), 'utf8');
  const expected = listSettingNames().map((name) => {
    const { description, fallback } = SETTINGS[name];
    const shown = fallback === undefined ? 'required' : fallback && `\`${fallback}\``;
    return `| \`${makeFlag(name)}\` | \`${makeVariable(name)}\` | ${shown || 'none'} | ${description} |`;
  });
  const rows = page.split('\n').filter((line) => line.startsWith('| `--'));
  expect(rows.map((line) => line.replaceAll(/\s+/g, ' '))).to.deep.equal(expected);
});
