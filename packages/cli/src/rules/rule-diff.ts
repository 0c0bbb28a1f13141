/** Compares rule files line by line. The order of lines has no meaning, so moves are no change. */

/** Lines that only one of two files has. */
export type RuleDiff = { readonly removed: readonly string[]; readonly added: readonly string[] };

function listRuleLines(text: string): string[] {
  const lines: string[] = [];
  for (const line of text.split(/\r?\n/)) {
    const trimmed = line.trim().replaceAll(/\s+/g, ' ');
    if (trimmed !== '') lines.push(trimmed);
  }
  return lines;
}

function listMissing(lines: readonly string[], others: readonly string[]): string[] {
  const counts = new Map<string, number>();
  for (const line of others) counts.set(line, (counts.get(line) ?? 0) + 1);
  const missing: string[] = [];
  for (const line of lines) {
    const count = counts.get(line) ?? 0;
    if (count > 0) counts.set(line, count - 1);
    else missing.push(line);
  }
  return missing;
}

/** Compares the rules in force with a file. */
export function compareRules(inForce: string, file: string): RuleDiff {
  const [before, after] = [listRuleLines(inForce), listRuleLines(file)];
  return { removed: listMissing(before, after), added: listMissing(after, before) };
}

/** Renders a difference with "-" before removed lines and "+" before added ones. */
export function renderDiff(diff: RuleDiff): string {
  const lines = [
    ...diff.removed.map((line) => `- ${line}`),
    ...diff.added.map((line) => `+ ${line}`),
  ];
  return lines.map((line) => `${line}\n`).join('');
}
