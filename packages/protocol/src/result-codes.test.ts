import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { RESULT_CODES } from './result-codes.js';

it('result codes: the table in docs matches the code', async () => {
  const page = await readFile(new URL('../../../docs/result-codes.md', import.meta.url), 'utf8');
  const expected: string[] = [];
  for (const [name, { code, status, title }] of Object.entries(RESULT_CODES)) {
    expected.push(`| ${code} | \`${name}\` | ${status} | ${title} |`);
  }
  const found = page.split('\n').filter((line) => /^\| \d+ \|/.test(line));
  const rows = found.map((line) => line.replaceAll(/\s+/g, ' '));
  expect(rows).to.deep.equal(expected);
});

it('result codes: no number is used twice', () => {
  const codes = Object.values(RESULT_CODES).map((entry) => entry.code);
  expect(new Set(codes).size).to.equal(codes.length);
});
