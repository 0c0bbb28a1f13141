import { expect } from 'chai';
import { countSharingVms, type GatewayState } from './gateway-state.js';

function buildState(live: number, listedVms: number | undefined): GatewayState {
  const pools = { countLiveVms: () => live };
  return { pools, listedVms } as unknown as GatewayState;
}

it('gateway state: a VM that just started takes no more of a shared budget than its share', () => {
  expect(countSharingVms(buildState(1, undefined))).to.be.at.least(10);
  expect(countSharingVms(buildState(1, 9))).to.equal(9);
  expect(countSharingVms(buildState(8, 7))).to.equal(8);
});
