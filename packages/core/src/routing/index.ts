export * from './event-splitter.js';
export * from './retry-window.js';
export * from './routes.js';
export * from './routing-types.js';
export * from './sender-outcome.js';
export * from './server-choice.js';
export * from './upstream-limits.js';
export * from './upstream-list.js';
