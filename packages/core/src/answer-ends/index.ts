export * from './answer-framing.js';
export * from './server-end.js';
