export { handlePoolEvent } from './pool-machine.js';
export {
  listPlannedEngines,
  makePoolState,
  estimateRequestNeeds as measureDemand,
  type PoolState,
} from './pool-state.js';
export type * from './pool-types.js';
export type { AnswerProgress } from '../speeds/memory-margin.js';
