export * from './connection-limit.js';
export * from './fair-queue.js';
export * from './memory-budget.js';
export * from './memory-pressure.js';
