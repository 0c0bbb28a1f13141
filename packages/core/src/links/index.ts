export * from './link-plan.js';
