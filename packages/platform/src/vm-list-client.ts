/** Client of the platform's late list of VMs. */

import type { Agent } from 'node:http';
import { parseVmList, type VmRecord } from '@tarragonspool/protocol';
import { sendJson } from './http-json.js';

/** Narrow interface of the VM list. */
export type VmListClient = {
  /** Returns the list, or undefined while it cannot be had; an unchanged list is the same value. */
  listVms(deadline: number): Promise<readonly VmRecord[] | undefined>;
};

/** Makes a client of the VM list at `baseUrl`. */
export function makeVmListClient(baseUrl: string, agent: Agent): VmListClient {
  let lastBody = '';
  let lastRecords: readonly VmRecord[] | undefined;
  return {
    async listVms(deadline) {
      const answer = await sendJson(agent, { method: 'GET', url: `${baseUrl}/vms`, deadline });
      if (answer.kind !== 'answer' || answer.status !== 200) return undefined;
      if (lastRecords !== undefined && answer.body === lastBody) return lastRecords;
      try {
        lastRecords = parseVmList(JSON.parse(answer.body));
        lastBody = answer.body;
        return lastRecords;
      } catch {
        return undefined;
      }
    },
  };
}
