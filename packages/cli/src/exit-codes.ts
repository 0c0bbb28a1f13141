/** Exit codes of the command line. docs/exit-codes.md is checked against this table by a test. */

/** Every exit code by name. */
export const EXIT_CODES = {
  ok: { code: 0, meaning: 'Done.' },
  different: { code: 1, meaning: '`rules diff` found a difference.' },
  refused: { code: 2, meaning: 'The daemon refused; the line starts with the result code.' },
  unreachable: { code: 3, meaning: 'No daemon answered at the addresses given.' },
  'not-in-force': { code: 4, meaning: 'The revision is not in force everywhere in time.' },
  'not-found': { code: 5, meaning: 'No daemon that answered knows the item.' },
  unsettled: { code: 6, meaning: 'The change may or may not have been accepted.' },
  usage: { code: 64, meaning: 'An unknown command, a bad flag or a missing value.' },
  'bad-rules': {
    code: 65,
    meaning: 'The rule file has a bad line, or the configuration has errors.',
  },
  'no-input': { code: 66, meaning: 'A file cannot be read or written.' },
  'platform-unavailable': { code: 69, meaning: 'The daemon cannot reach the platform.' },
  internal: { code: 70, meaning: 'A fault in the program.' },
  'cannot-listen': {
    code: 71,
    meaning: '`tarragonspoold`: an address is in use or not of this VM.',
  },
  'wrong-token': { code: 77, meaning: 'The operator token is wrong.' },
  'bad-settings': { code: 78, meaning: '`tarragonspoold`: a setting is not valid.' },
} as const;

/** Names of the exit codes. */
export type ExitName = keyof typeof EXIT_CODES;

/** Gets the number of an exit code. */
export function getExitCode(name: ExitName): number {
  return EXIT_CODES[name].code;
}
