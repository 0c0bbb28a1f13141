export * from './order-lease.js';
export * from './split-plan.js';
export * from './stage-plan.js';
