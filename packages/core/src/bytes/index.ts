export * from './byte-collector.js';
