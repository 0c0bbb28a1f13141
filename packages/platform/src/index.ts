export * from './http-json.js';
export * from './object-client.js';
export * from './protection/guarded-table.js';
export * from './table-client.js';
export * from './vm-list-client.js';
