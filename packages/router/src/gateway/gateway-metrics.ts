/** Metrics of the gateway, named by Prometheus conventions. */

import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_S = [0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.9, 1.5, 3, 6, 14];
const PREFIX = 'tarragonspool_gateway_';

/** Every metric of the gateway. */
export type GatewayMetrics = ReturnType<typeof makeGatewayMetrics>;

/** Makes the metrics in a registry of their own. */
export function makeGatewayMetrics() {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    answers: new Counter({
      name: `${PREFIX}answers_total`,
      help: 'Answers by kind of route and outcome.',
      labelNames: ['kind', 'outcome'],
      registers,
    }),
    refusedKeys: new Counter({
      name: `${PREFIX}refused_keys_total`,
      help: 'Requests refused by their key: missing-key, or wrong-key where no tenant holds it.',
      labelNames: ['reason'],
      registers,
    }),
    sends: new Counter({
      name: `${PREFIX}sends_total`,
      help: 'Requests sent to servers by step and outcome.',
      labelNames: ['step', 'outcome'],
      registers,
    }),
    slotReplies: new Counter({
      name: `${PREFIX}slot_replies_total`,
      help: 'Replies to slot requests by rank of the route and outcome: granted, or why refused.',
      labelNames: ['rank', 'outcome'],
      registers,
    }),
    answerSeconds: new Histogram({
      name: `${PREFIX}answer_seconds`,
      help: 'Time from arrival to the end of the answer.',
      labelNames: ['kind'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    firstEventSeconds: new Histogram({
      name: `${PREFIX}first_event_seconds`,
      help: 'Time from arrival to the first event of a stream.',
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    storeAway: new Gauge({
      name: `${PREFIX}store_away`,
      help: 'Tables that cannot be followed at the moment.',
      registers,
    }),
    storeCallsFailed: new Counter({
      name: `${PREFIX}store_calls_failed_total`,
      help: 'Failed calls that follow a table of the store, by table and outcome.',
      labelNames: ['table', 'outcome'],
      registers,
    }),
    storeEra: new Gauge({
      name: `${PREFIX}store_era`,
      help: 'Restores of the store from a copy, as the store counts them; 0 before the first seen.',
      registers,
    }),
    rowsWrittenAgain: new Counter({
      name: `${PREFIX}rows_written_again_total`,
      help: 'Rows of this VM that the store had lost and that it wrote again.',
      registers,
    }),
    unusableRows: new Counter({
      name: `${PREFIX}unusable_rows_total`,
      help: 'Versions of rows that cannot be used, by table.',
      labelNames: ['table'],
      registers,
    }),
    quarantined: new Counter({
      name: `${PREFIX}quarantined_total`,
      help: 'Requests not sent because they crash servers, by what does: content or parts.',
      labelNames: ['reason'],
      registers,
    }),
    sendsRefused: new Counter({
      name: `${PREFIX}sends_refused_total`,
      help: 'Sends that were not made, by why the server may not get them.',
      labelNames: ['reason'],
      registers,
    }),
    quotaRefused: new Counter({
      name: `${PREFIX}quota_refused_total`,
      help: 'Requests refused because their tenant has used up its quota.',
      registers,
    }),
    quotasBelowZero: new Gauge({
      name: `${PREFIX}quotas_below_zero`,
      help: 'At the keeper of quotas: tenants whose level is below zero.',
      registers,
    }),
    quotaOutOfContact: new Gauge({
      name: `${PREFIX}quota_out_of_contact`,
      help: '1 while this VM admits by its own share because it is out of contact with the keeper of quotas.',
      registers,
    }),
    notices: new Counter({
      name: `${PREFIX}upstream_notices_total`,
      help: 'What servers said of themselves: leaving, pause, limit, limit-ended, or invalid.',
      labelNames: ['kind'],
      registers,
    }),
    upstreams: new Gauge({
      name: `${PREFIX}upstreams`,
      help: 'Listed servers by state: usable, or why not: leaving, paused for this VM, no-permit.',
      labelNames: ['state'],
      registers,
    }),
    limitedUpstreams: new Gauge({
      name: `${PREFIX}limited_upstreams`,
      help: 'Listed servers that name a limit of the requests that they take from all VMs.',
      registers,
    }),
    resumes: new Counter({
      name: `${PREFIX}resumes_total`,
      help: 'Streams that callers go on with, by what is known of where they began.',
      labelNames: ['origin'],
      registers,
    }),
    permits: new Counter({
      name: `${PREFIX}permits_total`,
      help: 'Requests for permits of servers with limits, for calls: permitted or not-permitted.',
      labelNames: ['outcome'],
      registers,
    }),
    loadSummaries: new Gauge({
      name: `${PREFIX}load_summaries`,
      help: 'Plain services for which this VM has a current summary of the load over all VMs.',
      registers,
    }),
    callsWaited: new Counter({
      name: `${PREFIX}calls_waited_total`,
      help: 'Calls that waited for room, by outcome: room, no-room, caller-gone or timed-out.',
      labelNames: ['outcome'],
      registers,
    }),
    callsWithoutRoom: new Counter({
      name: `${PREFIX}calls_without_room_total`,
      help: 'Calls refused because no server of the service had room.',
      registers,
    }),
    relayedSends: new Counter({
      name: `${PREFIX}relayed_sends_total`,
      help: 'Sends by way of peers: asked by this VM, or made for peers by outcome.',
      labelNames: ['side', 'outcome'],
      registers,
    }),
    sizeCuts: new Counter({
      name: `${PREFIX}size_cuts_total`,
      help: 'Bodies, answers and connections cut off at a limit, by part and reason.',
      labelNames: ['part', 'reason'],
      registers,
    }),
    heldBytes: new Gauge({
      name: `${PREFIX}held_bytes`,
      help: 'Bytes held for requests: bodies, answers not yet whole or read, unfinished events.',
      labelNames: ['kind'],
      registers,
    }),
    collections: new Counter({
      name: `${PREFIX}memory_collections_total`,
      help: 'Collections of garbage that this process began as its memory was short, by kind.',
      labelNames: ['kind'],
      registers,
    }),
    cutOff: new Gauge({
      name: `${PREFIX}cut_off`,
      help: 'Whether this VM seems to be cut off from all servers.',
      registers,
    }),
    peers: new Gauge({ name: `${PREFIX}peers`, help: 'Open links to peers.', registers }),
  };
}
