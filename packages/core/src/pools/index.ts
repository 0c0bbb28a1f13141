export { handlePoolEvent } from './pool-machine.js';
export { makePoolState, type PoolState } from './pool-state.js';
export type * from './pool-types.js';
