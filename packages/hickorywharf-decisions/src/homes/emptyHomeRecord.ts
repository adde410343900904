import type {HomeRecord} from './homeRecord.ts';

/** The home record of a pool whose partitions have no homes yet. */
export const emptyHomeRecord: HomeRecord = {
  assignmentSequence: 0,
  intervals: [],
  earlier: [],
};
