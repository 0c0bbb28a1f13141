import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { listMetricRows, makeMetrics } from './metrics.js';

const DOCS = new URL('../../../../docs/operators/', import.meta.url);
const UNBOUNDED_LABELS = ['caller', 'model', 'adapter', 'request', 'fingerprint', 'key'];

it('metrics: names follow the conventions', () => {
  for (const { name, type } of listMetricRows(makeMetrics())) {
    expect(name).to.match(/^tarragonspool_[a-z][a-z0-9_]*$/);
    expect(name.endsWith('_total'), name).to.equal(type === 'counter');
    if (type === 'histogram') expect(name).to.match(/_(seconds|bytes|tokens)$/);
  }
});

it('metrics: no label names what has no bound', () => {
  for (const { name, labels } of listMetricRows(makeMetrics())) {
    for (const label of UNBOUNDED_LABELS) expect(labels, name).not.to.include(label);
  }
});

it('metrics: the table in docs matches the code', async () => {
  const page = await readFile(new URL('metrics.md', DOCS), 'utf8');
  const expected = listMetricRows(makeMetrics()).map(
    ({ name, type, labels, help }) =>
      `| \`${name}\` | ${type} | ${labels.join(', ') || '-'} | ${help} |`,
  );
  const rows = page.split('\n').filter((line) => line.startsWith('| `tarragonspool_'));
  expect(rows.map((line) => line.replaceAll(/\s+/g, ' '))).to.deep.equal(expected);
});

it('metrics: the example alerts name only metrics that exist', async () => {
  const text = await readFile(new URL('alerts.yml', DOCS), 'utf8');
  const exported = await makeMetrics().registry.metrics();
  const names = new Set([...exported.matchAll(/^# TYPE (\S+)/gm)].map(([, name]) => name));
  const used = [...text.matchAll(/tarragonspool_[a-z0-9_]+/g)].map(([name]) => name);
  expect(used).not.to.have.length(0);
  for (const name of used) {
    expect(names.has(name.replace(/_(bucket|sum|count)$/, '')) || names.has(name), name).to.equal(
      true,
    );
  }
});
