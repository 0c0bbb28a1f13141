export * from './quota-limiter.js';
export * from './quota-keeper.js';
export {
  computeCost,
  computeQuotaShape,
  isLimited,
  type QuotaBounds,
  type QuotaShape,
} from './quota-shape.js';
