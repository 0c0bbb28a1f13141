export * from './order-lease.js';
export * from './stage-plan.js';
