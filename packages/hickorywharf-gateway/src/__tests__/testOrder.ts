import type {StageOrder} from 'hickorywharf-types/gateway/stageOrder';

/** An order for two pieces of a service `scan`. */
export const TEST_ORDER: StageOrder = {
  requestId: 'r',
  stage: 0,
  service: 'scan',
  kind: 'scan',
  pieces: [0, 1],
  key: 'k',
  inputs: null,
  priority: 0,
  targetMilliseconds: 2000,
  deadlineMilliseconds: 5000,
  resultBytes: 100,
  failureDomain: null,
};
