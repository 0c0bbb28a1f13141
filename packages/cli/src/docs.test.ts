import { readdir, readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { join } from 'node:path';
import { expect } from 'chai';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const EXPORTED = /^export (?:async )?function\*? ([a-z]+)/gm;
const LINK = /\]\(([^)#:\s]+)(?:#[^)]*)?\)/g;

async function readFiles(folder: string, ending: string): Promise<ReadonlyMap<string, string>> {
  const files = new Map<string, string>();
  for (const entry of await readdir(join(ROOT, folder), { recursive: true })) {
    const isSkipped = entry.includes('node_modules') || entry.includes('dist');
    if (isSkipped || !entry.endsWith(ending)) continue;
    // eslint-disable-next-line no-await-in-loop -- some hundred small files
    files.set(join(folder, entry), await readFile(join(ROOT, folder, entry), 'utf8'));
  }
  return files;
}

it('docs: exported functions begin with a listed verb', async () => {
  const page = await readFile(join(ROOT, 'docs/verbs.md'), 'utf8');
  const verbs = new Set((page.split('\n\n')[2] ?? '').match(/[a-z]+/g));
  const unlisted: string[] = [];
  for (const [path, text] of await readFiles('packages', '.ts')) {
    for (const [, verb = ''] of text.matchAll(EXPORTED)) {
      if (!verbs.has(verb)) unlisted.push(`${path}: ${verb}`);
    }
  }
  expect(unlisted).to.deep.equal([]);
});

it('docs: every link leads to a file', async () => {
  const missing: string[] = [];
  const pages = new Map([...(await readFiles('docs', '.md'))]);
  pages.set('README.md', await readFile(join(ROOT, 'README.md'), 'utf8'));
  for (const [path, text] of pages) {
    for (const [, target = ''] of text.matchAll(LINK)) {
      // eslint-disable-next-line no-await-in-loop -- some hundred small reads
      const found = await readFile(join(ROOT, path, '..', target)).catch(
        (error: unknown) => (error as NodeJS.ErrnoException).code === 'EISDIR',
      );
      if (found === false) missing.push(`${path}: ${target}`);
    }
  }
  expect(missing).to.deep.equal([]);
});
