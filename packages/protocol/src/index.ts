export * from './assert-never.js';
export * from './claim-records.js';
export * from './engine-messages.js';
export * from './ids.js';
export * from './peer-messages.js';
export * from './platform-messages.js';
export * from './result-codes.js';
