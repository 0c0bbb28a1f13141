/**
 * Measures how memory, bytes and processor time grow with sizes, and prints the table that
 * docs/CAPACITY.md uses. Run it by `npm run bench:slopes`; words narrow the run to roles.
 */

import { measureAllocator } from './slopes/allocator.js';
import { measureClaims } from './slopes/claims.js';
import { fitLine, formatNumber } from './slopes/measure.js';
import { measurePeers } from './slopes/peers.js';
import { measureReports } from './slopes/reports.js';
import { measureRequests } from './slopes/requests.js';
import { measureIdleDaemons } from './slopes/idle.js';
import { measureUpstreams } from './slopes/upstreams.js';
import { measureRules } from './slopes/rules.js';

const PARTS = {
  peers: measurePeers,
  allocator: measureAllocator,
  rules: measureRules,
  claims: measureClaims,
  reports: measureReports,
  upstreams: measureUpstreams,
  idle: measureIdleDaemons,
  requests: measureRequests,
};

function renderRow({ role, what, unit, per, points }) {
  const { slope, start } = fitLine(points);
  const sizes = points.map(
    ({ size, value }) => `${size.toLocaleString('en')}: ${formatNumber(value)}`,
  );
  return `| ${[role, what, sizes.join('; '), `${formatNumber(start)} + ${formatNumber(slope)} ${unit} per ${per}`].join(' | ')} |`;
}

const wanted = process.argv.slice(2);
const names = Object.keys(PARTS).filter((name) => wanted.length === 0 || wanted.includes(name));
process.stdout.write(
  '| role | what | measured at size: value | line |\n| --- | --- | --- | --- |\n',
);
for (const name of names) {
  for (const row of await PARTS[name]()) process.stdout.write(`${renderRow(row)}\n`);
}
process.exit(0);
