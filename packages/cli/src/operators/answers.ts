/** Shapes of what daemons answer to operators. Fields that a daemon may lack are optional. */

import { z } from 'zod';

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
  reservations: z.number().optional(),
});

/** What a daemon knows of its surroundings. */
export type StatusAnswer = z.infer<typeof statusSchema>;

/** Answer of `GET /rules/history`, newest first. */
export const historySchema = z.object({
  revisions: z.array(
    z.object({
      revision: z.number(),
      editId: z.string(),
      digest: z.string(),
      acceptedAt: z.number().optional(),
      vmId: z.string().optional(),
    }),
  ),
});

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
