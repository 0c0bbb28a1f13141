import { expect } from 'chai';
import { countSharingVms, type GatewayState } from './gateway-state.js';

function buildState(liveVmCount: number, listedVmCount: number | undefined): GatewayState {
  const pools = { countLiveVms: () => liveVmCount };
  return { pools, listedVmCount } as unknown as GatewayState;
}

it('gateway state: a VM that just started takes no more of a shared budget than its share', () => {
  expect(countSharingVms(buildState(1, undefined))).to.be.at.least(10);
  expect(countSharingVms(buildState(1, 9))).to.equal(9);
  expect(countSharingVms(buildState(8, 7))).to.equal(8);
});
