export * from './connection-limit.js';
export * from './fair-queue.js';
