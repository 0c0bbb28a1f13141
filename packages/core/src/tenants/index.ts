export * from './bearer-token.js';
export * from './key-check.js';
export * from './tenant-directory.js';
export * from './tenant-types.js';
