/**
 * Judges whether an event follows on what a caller has of its stream. The ids of a stream's events increase;
 * several runs may make one stream, each of which goes on after the last event of the one before.
 */

import type { EventId } from './event-splitter.js';

/** How far a stream has come at its caller. */
export type StreamPlace = {
  /** Whether further runs may go on with the stream. */
  readonly isResumable: boolean;
  /** Id of the last event that has one; undefined before. */
  readonly lastId: number | undefined;
  /** Events in a row, up to the last one, whose ids count by one; undefined once ids have not done so. */
  readonly counted: number | undefined;
  /** Whether events without a number have been passed on since the last id: no other run can go on after them. */
  readonly hasUnnumbered: boolean;
};

/** Why an event does not follow. */
export type OrderFault =
  /** Its id is not above the one before: it came before, or another stream begins. */
  | 'id not above the one before'
  /** A run goes on later than it was asked to. */
  | 'events left out'
  /** The ids were numbers before, and another run may have to go on after one. */
  | 'id is no number';

/** The place after an event, or why it does not follow. */
export type OrderVerdict =
  | { readonly kind: 'follows'; readonly place: StreamPlace }
  | { readonly kind: 'out-of-order'; readonly fault: OrderFault };

/** Events after which ids that have counted by one are known to do so. */
const MIN_COUNTED_EVENTS = 2;

/** Makes the place of a stream that a caller begins, or goes on with after an event. */
export function makeStreamPlace(isResumable: boolean, lastId: number | undefined): StreamPlace {
  // The event that a caller names shows with the one after it whether ids count by one.
  const counted = lastId === undefined ? 0 : 1;
  return { isResumable, lastId, counted, hasUnnumbered: false };
}

/** Whether another run can go on exactly after what the caller has. */
export function canGoOnElsewhere({ isResumable, hasUnnumbered }: StreamPlace): boolean {
  return isResumable && !hasUnnumbered;
}

function judgeNumber(place: StreamPlace, value: number, isFirstOfRun: boolean): OrderVerdict {
  const { lastId, counted } = place;
  // Of the first event of a stream only the ones after it show whether ids count by one.
  const step = lastId === undefined ? 1 : value - lastId;
  if (step <= 0) return { kind: 'out-of-order', fault: 'id not above the one before' };
  const isCounting = counted !== undefined && counted >= MIN_COUNTED_EVENTS;
  if (isFirstOfRun && isCounting && step > 1) {
    return { kind: 'out-of-order', fault: 'events left out' };
  }
  const nextCounted = counted === undefined || step > 1 ? undefined : counted + 1;
  const next = { ...place, lastId: value, counted: nextCounted, hasUnnumbered: false };
  return { kind: 'follows', place: next };
}

/** Judges the next event of a run; the first one shows whether the run goes on in the right place. */
export function judgeEvent(place: StreamPlace, id: EventId, isFirstOfRun: boolean): OrderVerdict {
  switch (id.kind) {
    case 'number':
      return judgeNumber(place, id.value, isFirstOfRun);
    case 'unusable':
      if (place.isResumable && place.lastId !== undefined) {
        return { kind: 'out-of-order', fault: 'id is no number' };
      }
      return { kind: 'follows', place: { ...place, hasUnnumbered: true } };
    case 'none':
      return { kind: 'follows', place: { ...place, hasUnnumbered: true } };
    default:
      return id satisfies never;
  }
}
