/** What the ids of one run's events tell, for logs. */

import type { EventId } from './event-splitter.js';

/** Ids of the events that one run has sent. */
export type EventIds = {
  /** Event after which the engine was asked to go on; undefined if it began the stream. */
  readonly askedAfter: number | undefined;
  firstId: number | undefined;
  lastId: number | undefined;
  /** Events whose id is not above the one before it. */
  notAbove: number;
  /** Greatest step between two ids that follow each other. */
  greatestStep: number;
  /** Events with an id that is no number, or cannot be held exactly. */
  unusable: number;
  /** Events without an id. */
  without: number;
};

/** Makes the record of a run that has sent nothing. */
export function makeEventIds(askedAfter: number | undefined): EventIds {
  const ends = { firstId: undefined, lastId: undefined };
  return { askedAfter, ...ends, notAbove: 0, greatestStep: 0, unusable: 0, without: 0 };
}

function recordNumber(ids: EventIds, value: number): void {
  const before = ids.lastId ?? ids.askedAfter;
  if (before !== undefined) {
    if (value <= before) ids.notAbove += 1;
    ids.greatestStep = Math.max(ids.greatestStep, value - before);
  }
  ids.firstId ??= value;
  ids.lastId = value;
}

/** Records the id of the run's next event. */
export function recordEventId(ids: EventIds, id: EventId): void {
  switch (id.kind) {
    case 'number':
      recordNumber(ids, id.value);
      return;
    case 'unusable':
      ids.unusable += 1;
      return;
    case 'none':
      ids.without += 1;
      return;
    default:
      id satisfies never;
  }
}
