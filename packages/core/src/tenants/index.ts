export * from './tenant-types.js';
