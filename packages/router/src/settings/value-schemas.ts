/** Schemas of the kinds of values that settings take. Each message says what was expected. */

import * as z from 'zod';
import { MAX_PORT, parseAddress } from '../http/parse-address.js';

const MIN_SECRET_LENGTH = 16;
const MAX_SECRET_LENGTH = 256;
const MAX_PEER_SECRETS = 8;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const SECRET_PATTERN = /^[\x21-\x2b\x2d-\x7e]+$/;
const HTTP_PREFIX = 'http://';

function isHttpUrl(text: string): boolean {
  if (!text.startsWith(HTTP_PREFIX)) return false;
  return parseAddress(text.slice(HTTP_PREFIX.length)) !== undefined;
}

/** A name of a VM. */
export const nameSchema = z
  .string()
  .regex(NAME_PATTERN, '1 to 64 letters, digits, ".", "_" or "-", the first a letter or digit');

/** A data centre: a name, or a region and a name with `/` between. */
export const dataCentreSchema = z.string().refine((text) => {
  const parts = text.split('/');
  return parts.length <= 2 && parts.every((part) => NAME_PATTERN.test(part));
}, 'a name, or a region and a name with "/" between');

/** An address to listen on. */
export const addressSchema = z.string().transform((text, context) => {
  const address = parseAddress(text);
  if (address !== undefined) return address;
  context.addIssue(`an IPv4 number and a port from 1 to ${MAX_PORT}, such as 127.0.0.1:8080`);
  return z.NEVER;
});

/** The platform's address. */
export const httpUrlSchema = z
  .string()
  .refine(
    isHttpUrl,
    `${HTTP_PREFIX} with an IPv4 number and a port, such as http://127.0.0.1:9000`,
  );

const MAX_PATH_LENGTH = 4_096;

/** A path of a file; empty for none. */
export const filePathSchema = z
  .string()
  .max(MAX_PATH_LENGTH, `at most ${MAX_PATH_LENGTH} characters`);

const SECRET_EXPECTED = `${MIN_SECRET_LENGTH} to ${MAX_SECRET_LENGTH} visible characters without commas`;

/** One shared secret or token. */
export const secretSchema = z
  .string()
  .min(MIN_SECRET_LENGTH, SECRET_EXPECTED)
  .max(MAX_SECRET_LENGTH, SECRET_EXPECTED)
  .regex(SECRET_PATTERN, SECRET_EXPECTED);

/** Accepted secrets, the one used for own proofs first. */
export const secretListSchema = z
  .string()
  .transform((text) => text.split(','))
  .pipe(
    z
      .array(secretSchema)
      .max(MAX_PEER_SECRETS, `at most ${MAX_PEER_SECRETS} secrets`)
      .refine((secrets) => new Set(secrets).size === secrets.length, 'different secrets'),
  );

/** Makes the schema of a whole number within a range. */
export function makeWholeNumberSchema(min: number, max: number) {
  const expected = `a whole number from ${min} to ${max}`;
  return z
    .string()
    .regex(/^\d{1,15}$/, expected)
    .transform(Number)
    .pipe(z.number().min(min, expected).max(max, expected));
}

/** Makes the schema of one of several words. */
export function makeChoiceSchema<const Choices extends readonly [string, ...string[]]>(
  choices: Choices,
) {
  return z.enum(choices, `one of ${choices.join(', ')}`);
}
