export * from './engine/engine.js';
export * from './engine/kv-content.js';
export * from './engine/token-text.js';
export * from './harness/deployment.js';
export * from './harness/processes.js';
