/** Limits of what is held, for tests that do not reach them. */

import type { HeldLimits } from '@tarragonspool/core';

export const HELD_LIMITS: HeldLimits = {
  bodyBytes: 500_000,
  smallBodyBytes: 0,
  allBytes: 1_000_000,
  headBytes: 500_000,
  unparsedBytes: 500_000,
};
