/** Adds and removes the `drain` lines of a rule file. */

function isDrainLine(line: string, upstreamId: string): boolean {
  const [keyword, name] = (line.split('#', 1)[0] ?? '').trim().split(/\s+/);
  return keyword === 'drain' && name === upstreamId;
}

/** Whether the rules drain an upstream. */
export function hasDrainLine(text: string, upstreamId: string): boolean {
  return text.split(/\r?\n/).some((line) => isDrainLine(line, upstreamId));
}

/** Adds the line that drains an upstream. */
export function addDrainLine(text: string, upstreamId: string, askedBy: string): string {
  const start = text === '' || text.endsWith('\n') ? text : `${text}\n`;
  return `${start}drain ${upstreamId}  # ${askedBy}\n`;
}

/** Removes every line that drains an upstream. */
export function removeDrainLine(text: string, upstreamId: string): string {
  const kept = text.split('\n').filter((line) => !isDrainLine(line, upstreamId));
  return kept.join('\n');
}
