import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import ts from 'typescript';

const SOURCE = fileURLToPath(new URL('../src', import.meta.url));

type Imports = ReadonlyMap<string, readonly string[]>;

/** Lists the files of the same package that a file imports, for their types alone too. */
function listImports(path: string, text: string): string[] {
  const names = ts.preProcessFile(text).importedFiles.map(({ fileName }) => fileName);
  const relative = names.filter((name) => name.startsWith('.'));
  return relative.map((name) => join(path, '..', name).replace(/\.js$/, '.ts'));
}

/** Finds a cycle, first file repeated at its end; empty if there is none. */
function findCycle(imports: Imports): string[] {
  const left = new Set(imports.keys());
  const findNext = (file: string): string | undefined =>
    imports.get(file)?.find((imported) => left.has(imported));
  let countBefore: number;
  do {
    countBefore = left.size;
    for (const file of left) if (findNext(file) === undefined) left.delete(file);
  } while (left.size < countBefore);
  const path: string[] = [];
  let [file] = left;
  while (file !== undefined && !path.includes(file)) {
    path.push(file);
    file = findNext(file);
  }
  return file === undefined ? [] : [...path.slice(path.indexOf(file)), file];
}

// Guards against a check that overlooks a form of import, and so finds nothing in the sources.
it('import cycles: every form of import counts, also of types alone', () => {
  const forms = [
    "import { b } from './b.js';",
    "import type { B } from './b.js';",
    "import {\n  type B,\n} from './b.js';",
    "import './b.js';",
    "export * from './b.js';",
    "export type { B } from './b.js';",
    "type B = import('./b.js').B;",
    "const b = await import('./b.js');",
  ];
  for (const form of forms) {
    const imports = new Map([
      ['main.ts', ['gateway/a.ts']],
      ['gateway/a.ts', listImports('gateway/a.ts', form)],
      ['gateway/b.ts', listImports('gateway/b.ts', "import { c } from '../peers/c.js';")],
      ['peers/c.ts', []],
    ]);
    expect(findCycle(imports), form).to.deep.equal([]);
    imports.set('peers/c.ts', listImports('peers/c.ts', "import { a } from '../gateway/a.js';"));
    const cycle = ['gateway/a.ts', 'gateway/b.ts', 'peers/c.ts', 'gateway/a.ts'];
    expect(findCycle(imports), form).to.deep.equal(cycle);
  }
});

// Guards against files that can be neither understood nor tested without each other.
it('import cycles: no files of the router import each other in a cycle', async () => {
  const imports = new Map<string, readonly string[]>();
  for (const path of await readdir(SOURCE, { recursive: true })) {
    if (!path.endsWith('.ts')) continue;
    // eslint-disable-next-line no-await-in-loop -- some hundred small files
    imports.set(path, listImports(path, await readFile(join(SOURCE, path), 'utf8')));
  }
  const unknown = [...imports.values()].flat().filter((path) => !imports.has(path));
  expect(imports).not.to.have.property('size', 0);
  expect(unknown).to.deep.equal([]);
  expect(findCycle(imports)).to.deep.equal([]);
});
