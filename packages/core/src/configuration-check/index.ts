export * from './check-types.js';
export * from './configuration-check.js';
export * from './configuration-differences.js';
