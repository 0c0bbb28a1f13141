import { generateKeyPair, sign } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect } from 'node:tls';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeServer } from './make-server.js';
import { makeTlsReload, readTlsMaterial } from './tls-files.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const ECDSA_SHA256 = '06082a8648ce3d040302';
const COMMON_NAME = '0603550403';

function encodeDer(tag: number, ...parts: readonly Buffer[]): Buffer {
  const body = Buffer.concat(parts);
  const { length } = body;
  const header = length < 128 ? [tag, length] : [tag, 0x82, Math.floor(length / 256), length % 256];
  return Buffer.concat([Buffer.from(header), body]);
}

function encodeName(name: string): Buffer {
  const value = encodeDer(0x0c, Buffer.from(name));
  return encodeDer(0x30, encodeDer(0x31, encodeDer(0x30, Buffer.from(COMMON_NAME, 'hex'), value)));
}

/** Makes a self-signed certificate with the serial number given. */
async function makeCertificate(serial: number): Promise<{ cert: string; key: string }> {
  const options = { namedCurve: 'P-256' };
  const { privateKey, publicKey } = await promisify(generateKeyPair)('ec', options);
  const algorithm = encodeDer(0x30, Buffer.from(ECDSA_SHA256, 'hex'));
  const [start, end] = ['200101000000Z', '491231000000Z'].map((time) =>
    encodeDer(0x17, Buffer.from(time)),
  );
  const name = encodeName('test');
  const body = encodeDer(
    0x30,
    encodeDer(0xa0, Buffer.from('020102', 'hex')),
    encodeDer(0x02, Buffer.from([serial])),
    algorithm,
    name,
    encodeDer(0x30, start ?? Buffer.alloc(0), end ?? Buffer.alloc(0)),
    name,
    publicKey.export({ type: 'spki', format: 'der' }),
  );
  const signature = sign('sha256', body, privateKey);
  const bits = encodeDer(0x03, Buffer.from([0]), signature);
  const text = encodeDer(0x30, body, algorithm, bits).toString('base64');
  const cert = `-----BEGIN CERTIFICATE-----\n${text}\n-----END CERTIFICATE-----\n`;
  return { cert, key: privateKey.export({ type: 'pkcs8', format: 'pem' }).toString() };
}

async function writePair(certPath: string, keyPath: string, serial: number): Promise<void> {
  const { cert, key } = await makeCertificate(serial);
  await writeFile(certPath, cert);
  await writeFile(keyPath, key);
}

function readSerial(port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: HOST, port, rejectUnauthorized: false }, () => {
      resolve(parseInt(socket.getPeerCertificate().serialNumber, 16));
      socket.destroy();
    });
    socket.on('error', reject);
  });
}

it('tls: changed files are taken without a restart, bad ones change nothing', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'tarragonspool-tls-'));
  const files = { certPath: join(folder, 'cert.pem'), keyPath: join(folder, 'key.pem') };
  await writePair(files.certPath, files.keyPath, 1);
  const logger = pino({ level: 'silent' });
  const server = makeServer({ files, logger }, {}, (_incoming, response) => response.end('ok'));
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  expect(await readSerial(port)).to.equal(1);
  const first = readTlsMaterial(files);
  if (first.kind === 'error') throw new Error(first.detail);
  const reload = makeTlsReload(server, files, first.material, logger);
  await writePair(files.certPath, files.keyPath, 2);
  reload();
  expect(await readSerial(port)).to.equal(2);
  await writeFile(files.keyPath, (await makeCertificate(3)).key);
  reload();
  expect(await readSerial(port)).to.equal(2);
  await rm(files.certPath);
  reload();
  expect(await readSerial(port)).to.equal(2);
  await writePair(files.certPath, files.keyPath, 4);
  reload();
  expect(await readSerial(port)).to.equal(4);
  server.close();
  await rm(folder, { recursive: true });
});

it('tls: a missing file, text that is no certificate and a foreign key are told apart', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'tarragonspool-tls-'));
  const files = { certPath: join(folder, 'cert.pem'), keyPath: join(folder, 'key.pem') };
  expect(readTlsMaterial(files)).to.include({ kind: 'error', at: 'cert', detail: 'ENOENT' });
  await writePair(files.certPath, files.keyPath, 1);
  await writeFile(files.keyPath, (await makeCertificate(2)).key);
  expect(readTlsMaterial(files)).to.include({ kind: 'error', at: 'key' });
  await writeFile(files.certPath, 'no certificate');
  expect(readTlsMaterial(files)).to.include({ kind: 'error', at: 'cert' });
  expect(() => makeServer({ files, logger: pino({ level: 'silent' }) }, {}, () => {})).to.throw();
  await rm(folder, { recursive: true });
});
