/** Splits a stream of server-sent events into whole events and parses their ids. */

/** Id of an event: a whole number that is held exactly, another text, or none. */
export type EventId =
  | { readonly kind: 'number'; readonly value: number }
  | { readonly kind: 'unusable' }
  | { readonly kind: 'none' };

/** Events that one chunk completed. */
export type SplitEvents = {
  /** Bytes of whole events, in order. */
  readonly whole: Buffer;
  readonly count: number;
  /** Ids of the events, in order. */
  readonly ids: readonly EventId[];
  /** Id of the last whole event that has one; undefined if none has. */
  readonly lastEventId: number | undefined;
};

/** Splits one stream. */
export type EventSplitter = {
  readonly split: (chunk: Buffer) => SplitEvents;
  /** Whether bytes of an event have come whose end has not. */
  readonly isInsideEvent: () => boolean;
  /** Bytes after the last whole event. */
  readonly countRest: () => number;
  /** Returns and clears the bytes after the last whole event. */
  readonly takeRest: () => Buffer;
};

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EVENT_ID = /^id: ?(\d+)\r?$/mu;
const ANY_ID = /^id(?::|\r?$)/mu;

/** Finds the end of the first event at or after `from`; -1 if the event is incomplete. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
  }
  return -1;
}

/** Whether a line belongs to an event: blank lines and comments do not. */
function isEventLine(line: string): boolean {
  return line !== '' && line !== '\r' && !line.startsWith(':');
}

function parseEventId(event: Buffer): EventId {
  const text = event.toString('latin1');
  const value = Number(EVENT_ID.exec(text)?.[1]);
  if (Number.isSafeInteger(value)) return { kind: 'number', value };
  return { kind: ANY_ID.test(text) ? 'unusable' : 'none' };
}

/** Makes a splitter for one stream. */
export function makeEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    split: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      let start = 0;
      let count = 0;
      const ids: EventId[] = [];
      let lastEventId: number | undefined;
      for (let end = findEventEnd(bytes, 0); end >= 0; end = findEventEnd(bytes, start)) {
        const id = parseEventId(bytes.subarray(start, end));
        ids.push(id);
        if (id.kind === 'number') lastEventId = id.value;
        count += 1;
        start = end;
      }
      rest = bytes.subarray(start);
      return { whole: bytes.subarray(0, start), count, ids, lastEventId };
    },
    isInsideEvent: () => rest.toString('latin1').split('\n').some(isEventLine),
    countRest: () => rest.length,
    takeRest: () => {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
  };
}
