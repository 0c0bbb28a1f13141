/**
 * Splits a stream of server-sent events into whole events and parses their ids. Lines may end in a line feed, a
 * carriage return or both (HTML Living Standard, 9.2.6).
 */

import type { WeightVersion } from '@tarragonspool/protocol';
import { makeByteCollector, type ByteCollector } from '../bytes/byte-collector.js';

/** Id of an event: a whole number that is held exactly, another text, or none. */
export type EventId =
  | { readonly kind: 'number'; readonly value: number }
  | { readonly kind: 'unusable' }
  | { readonly kind: 'none' };

/** A part of a stream, whose bytes are a copy. */
export type StreamPart =
  | {
      readonly kind: 'event';
      readonly bytes: Buffer;
      readonly id: EventId;
      /** Version of the weights that its first line names; undefined if that line names none. */
      readonly weightVersion: WeightVersion | undefined;
    }
  /** Comments, blank lines between events, and times to wait before the next attempt, which are no events. */
  | { readonly kind: 'filler'; readonly bytes: Buffer };

/** Finds the version of the weights that the first line of an event names. */
export type DecodeWeightVersion = (line: string) => WeightVersion | undefined;

/** Splits one stream. */
export type EventSplitter = {
  /** Returns the parts that a chunk completes, in order. */
  readonly split: (chunk: Buffer) => StreamPart[];
  /** Whether bytes of an event have come whose end has not. */
  readonly isInsideEvent: () => boolean;
  /** The bytes after the last part, and what they have cost. */
  readonly rest: Pick<ByteCollector, 'countBytes' | 'countCost'>;
  /** Returns and clears what is left at the end of the stream, where it is not inside an event. */
  readonly takeRest: () => StreamPart[];
};

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);
const RETRY_FIELD = /^retry(?::|$)/u;
const ID_FIELD = /^id(?:: ?(.*))?$/su;
const WHOLE_NUMBER = /^\d+$/u;
const NO_ID: EventId = { kind: 'none' };

function parseId(line: string): EventId | undefined {
  const match = ID_FIELD.exec(line);
  if (match === null) return undefined;
  const text = match[1] ?? '';
  const value = WHOLE_NUMBER.test(text) ? Number(text) : NaN;
  return Number.isSafeInteger(value) ? { kind: 'number', value } : { kind: 'unusable' };
}

/** Whether a line belongs to an event: blank lines and comments do not. */
function isField(line: Buffer): boolean {
  return line.length > 0 && line[0] !== COLON;
}

/** Returns the bytes of a stream's beginning without its byte order mark. */
export function dropByteOrderMark(bytes: Buffer): Buffer {
  const hasMark = bytes.subarray(0, BYTE_ORDER_MARK.length).equals(BYTE_ORDER_MARK);
  return hasMark ? bytes.subarray(BYTE_ORDER_MARK.length) : bytes;
}

/** Reads the fields of an event, line by line. */
function makeEventReader(decodeWeightVersion: DecodeWeightVersion) {
  let isFirstLine = true;
  let hasField = false;
  let isEvent = false;
  let id = NO_ID;
  let weightVersion: WeightVersion | undefined;
  return {
    readLine: (bytes: Buffer): void => {
      const line = isFirstLine ? dropByteOrderMark(bytes) : bytes;
      isFirstLine = false;
      if (!isField(line)) return;
      const text = line.toString('latin1');
      if (!hasField) weightVersion = decodeWeightVersion(text);
      hasField = true;
      if (!RETRY_FIELD.test(text)) isEvent = true;
      // The last one of several ids counts.
      id = parseId(text) ?? id;
    },
    hasField: () => hasField,
    /** Returns a copy of the bytes as the part that ends with the blank line, and begins the next one. */
    takePart: (bytes: Buffer): StreamPart => {
      const copy = Buffer.from(bytes);
      const part: StreamPart = isEvent
        ? { kind: 'event', bytes: copy, id, weightVersion }
        : { kind: 'filler', bytes: copy };
      hasField = false;
      isEvent = false;
      id = NO_ID;
      weightVersion = undefined;
      return part;
    },
  };
}

/** Makes a splitter for one stream; without `decodeWeightVersion` no line names weights. */
export function makeEventSplitter(
  decodeWeightVersion: DecodeWeightVersion = () => undefined,
): EventSplitter {
  const held = makeByteCollector();
  const reader = makeEventReader(decodeWeightVersion);
  /** Bytes that are held and have been read. */
  let readBytes = 0;
  let lineStart = 0;
  /** Whether the byte before was a carriage return, to which a line feed may still belong. */
  let isAfterReturn = false;
  /** Whether the line before the present one ended in both. */
  let hasPairs = false;
  /** Whether a blank line has come whose line feed is still to come. */
  let isEndPending = false;

  function readAll(): StreamPart[] {
    const bytes = held.getBytes();
    const parts: StreamPart[] = [];
    let partStart = 0;
    const endPart = (end: number): void => {
      parts.push(reader.takePart(bytes.subarray(partStart, end)));
      partStart = end;
      isEndPending = false;
    };
    for (; readBytes < bytes.length; readBytes += 1) {
      const byte = bytes[readBytes];
      const next = readBytes + 1;
      const isSecondOfPair = isAfterReturn && byte === LINE_FEED;
      if (isAfterReturn) hasPairs = isSecondOfPair;
      isAfterReturn = byte === CARRIAGE_RETURN;
      if (isSecondOfPair) {
        lineStart = next;
        if (isEndPending) endPart(next);
        continue;
      }
      if (isEndPending) endPart(readBytes);
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) continue;
      const isBlank = lineStart === readBytes;
      if (!isBlank) reader.readLine(bytes.subarray(lineStart, readBytes));
      lineStart = next;
      if (!isBlank) continue;
      if (isAfterReturn && hasPairs) isEndPending = true;
      else endPart(next);
    }
    held.dropFirst(partStart);
    readBytes -= partStart;
    lineStart -= partStart;
    return parts;
  }

  return {
    split: (chunk) => {
      held.append(chunk);
      return readAll();
    },
    isInsideEvent: () => {
      if (isEndPending) return false;
      return reader.hasField() || isField(dropByteOrderMark(held.getBytes().subarray(lineStart)));
    },
    rest: held,
    takeRest: () => {
      if (held.countBytes() === 0) return [];
      isEndPending = false;
      readBytes = 0;
      lineStart = 0;
      return [reader.takePart(held.take())];
    },
  };
}
