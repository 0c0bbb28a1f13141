/** Shapes of what daemons answer to operators. Fields that a daemon may lack are optional. */

import * as z from 'zod';

/** Answer of `GET /rules`. */
export const rulesSchema = z.object({ revision: z.number(), text: z.string() });

/** Answer of `POST /rules`. */
export const acceptedSchema = z.object({ revision: z.number() });

const peerSchema = z.object({
  vmId: z.string(),
  isLeaving: z.boolean(),
  rulesRevision: z.number(),
  heardAt: z.number().optional(),
});

const upstreamSchema = z.object({
  upstreamId: z.string(),
  service: z.string(),
  role: z.string().optional(),
  dataCentre: z.string().optional(),
  isLeaving: z.boolean(),
  reservations: z.number().optional(),
});

/** Answer of `GET /status`. */
export const statusSchema = z.object({
  vmId: z.string(),
  dataCentre: z.string(),
  incarnation: z.number(),
  isLeaving: z.boolean(),
  rulesRevision: z.number(),
  entryVms: z.array(z.string()),
  peers: z.array(peerSchema),
  engines: z.array(upstreamSchema),
  servers: z.array(upstreamSchema),
});

/** What a daemon knows of its surroundings. */
export type StatusAnswer = z.infer<typeof statusSchema>;

const hunkSchema = z.object({ removed: z.array(z.string()), added: z.array(z.string()) });

const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('hunks'), hunks: z.array(hunkSchema) }),
  z.object({ kind: z.literal('snapshot') }),
]);

const revisionSchema = z.object({
  revision: z.number(),
  editId: z.string(),
  author: z.string(),
  acceptedAt: z.number(),
  change: changeSchema,
});

/** One accepted edit of the rules. */
export type RevisionAnswer = z.infer<typeof revisionSchema>;

/** Answer of `GET /rules/history`, oldest first. */
export const historySchema = z.object({ history: z.array(revisionSchema) });

/** Answer of `GET /quarantine`. */
export const quarantineSchema = z.object({
  entries: z.array(
    z.object({
      fingerprint: z.string(),
      crashes: z.number(),
      lastUpstream: z.string(),
      expiresAt: z.number(),
    }),
  ),
});

/** Answer of `POST /quarantine/release`. */
export const releasedSchema = z.object({ isReleased: z.boolean() });
