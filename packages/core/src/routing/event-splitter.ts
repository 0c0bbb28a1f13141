/** Splits a stream of server-sent events into whole events and parses their ids. */

/** Events that one chunk completed. */
export type SplitEvents = {
  /** Bytes of whole events, in order. */
  readonly whole: Buffer;
  readonly count: number;
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

function parseEventId(event: Buffer): number | undefined {
  const id = Number(EVENT_ID.exec(event.toString('latin1'))?.[1]);
  return Number.isSafeInteger(id) ? id : undefined;
}

/** Makes a splitter for one stream. */
export function makeEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    split: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      let start = 0;
      let count = 0;
      let lastEventId: number | undefined;
      for (let end = findEventEnd(bytes, 0); end >= 0; end = findEventEnd(bytes, start)) {
        lastEventId = parseEventId(bytes.subarray(start, end)) ?? lastEventId;
        count += 1;
        start = end;
      }
      rest = bytes.subarray(start);
      return { whole: bytes.subarray(0, start), count, lastEventId };
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
