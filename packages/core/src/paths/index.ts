export * from './server-paths.js';
