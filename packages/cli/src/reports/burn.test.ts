import { expect } from 'chai';
import { renderBurnHtml } from './burn-html.js';
import { mergeBurn, type BurnAnswer } from './burn-merge.js';
import { renderBurnText } from './burn-text.js';

const HOUR_MS = 3_600_000;
const NOW = Date.UTC(2026, 11, 4, 3);

function makeAnswer(vmId: string, met: number, total: number, ageMs = 100 * HOUR_MS): BurnAnswer {
  const counts = { firstToken: { met, total }, answer: { met: total, total } };
  const windows = { '5m': counts, '1h': counts, '6h': counts, '3d': counts };
  const hours = [[NOW - 2 * HOUR_MS, met, total, total, total]];
  const series = [{ callerId: 'desk', service: 'llm', windows, hours }];
  return { vmId, startedAt: NOW - ageMs, now: NOW, targetPercent: 95, maxSeries: 10, series };
}

it('burn report: counts of several VMs are added before the rate is taken', () => {
  const report = mergeBurn([makeAnswer('vm-1', 0, 10), makeAnswer('vm-2', 90, 90)], []);
  const [row] = report.rows;
  expect(row?.objective).to.equal('first-token');
  expect(row?.windows['1h']).to.include({ met: 90, total: 100 });
  expect(row?.windows['1h'].rate).to.be.closeTo(2, 1e-9);
  expect(row?.alarms).to.deep.equal(['slow']);
});

it('burn report: a restarted or silent VM is missing data, not zero', () => {
  const report = mergeBurn([makeAnswer('vm-1', 10, 10, HOUR_MS / 2)], ['vm-2']);
  expect(report.coverage['5m']).to.equal(0.5);
  expect(report.coverage['1h']).to.equal(0.25);
  expect(report.coverage['3d']).to.be.below(0.004);
  const text = renderBurnText(report);
  expect(text).to.include('vm-2: no answer; its data is missing').and.to.include('1h 25.0 %');
});

it('burn report: a window without answers has no rate', () => {
  const answer = makeAnswer('vm-1', 10, 10);
  const none = { firstToken: { met: 0, total: 0 }, answer: { met: 0, total: 0 } };
  const [series] = answer.series;
  if (series === undefined) throw new Error('expected a series');
  const windows = { ...series.windows, '5m': none };
  const report = mergeBurn([{ ...answer, series: [{ ...series, windows }] }], []);
  expect(report.rows[0]?.windows['5m'].rate).to.equal(undefined);
  expect(renderBurnText(report)).to.match(/desk +llm +answer +no data +0\.00/);
});

it('burn report: the page stands alone and escapes every name', () => {
  const answer = makeAnswer('vm"><script>1</script>', 5, 10);
  const [series] = answer.series;
  if (series === undefined) throw new Error('expected a series');
  const evil = { ...series, callerId: '<img src=x onerror=1>', service: '"\'&</svg>' };
  const page = renderBurnHtml(mergeBurn([{ ...answer, series: [evil] }], ['<b>']));
  expect(page).not.to.match(/<script|<img|<b>|https?:\/\/|url\(|src=x/);
  expect(page.match(/<svg/g)).to.have.length(2);
  expect(page.match(/<\/svg>/g)).to.have.length(2);
});

it('burn report: hours without data are marked and lines do not cross them', () => {
  const answer = makeAnswer('vm-1', 5, 10, 10 * HOUR_MS);
  const [series] = answer.series;
  if (series === undefined) throw new Error('expected a series');
  const hours = [1, 2, 5].map((ago) => [NOW - ago * HOUR_MS, 5, 10, 10, 10]);
  hours.reverse();
  const page = renderBurnHtml(mergeBurn([{ ...answer, series: [{ ...series, hours }] }], []));
  expect(page.match(/class="missing"/g)?.length).to.equal(2 * 61);
  expect(page.match(/<polyline/g)).to.have.length(2 * 2);
});
