/** Measures memory and processor time, and fits lines through sizes. */

const MAX_WARM_UPS = 2_000;

/** Heap and buffers in use after collecting garbage, in bytes. */
export function measureMemory() {
  globalThis.gc();
  globalThis.gc();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Builds the same thing `copies` times; returns the last one and the bytes that one keeps. */
export function measureKept(build, copies = 1) {
  build();
  const before = measureMemory();
  const kept = Array.from({ length: copies }, build);
  const bytes = (measureMemory() - before) / copies;
  return { made: kept.at(-1), bytes };
}

/** Microseconds of processor time that one run of `step` takes, over `runs` runs. */
export function measureCpu(runs, step) {
  const warmUps = Math.min(runs, MAX_WARM_UPS);
  for (let index = 0; index < warmUps; index += 1) step(index);
  const before = process.cpuUsage();
  for (let index = 0; index < runs; index += 1) step(warmUps + index);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / runs;
}

/** Fits `value = start + slope * size` by least squares. */
export function fitLine(points) {
  const count = points.length;
  let [sumX, sumY, sumXx, sumXy] = [0, 0, 0, 0];
  for (const { size, value } of points) {
    sumX += size;
    sumY += value;
    sumXx += size * size;
    sumXy += size * value;
  }
  const slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
  return { slope, start: (sumY - slope * sumX) / count };
}

/** Waits; for use between polls. */
export function waitMs(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Formats a number with three digits that count. */
export function formatNumber(value) {
  if (value === 0) return '0';
  const size = Math.abs(value);
  if (size >= 1_000) return Math.round(value).toLocaleString('en');
  return Number(value.toPrecision(3)).toString();
}
