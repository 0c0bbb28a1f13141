export * from './allocation/allocator.js';
export * from './claims/claim-machine.js';
export * from './claims/claim-types.js';
export * from './requests/prefix-hashes.js';
export * from './requests/request-machine.js';
export * from './requests/tokens.js';
export * from './rules/rule-file.js';
export * from './rules/rule-set.js';
