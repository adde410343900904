import type {HomeRecord} from './homeRecord.ts';

/** The record of a pool that has no homes yet. */
export const emptyHomeRecord: HomeRecord = {
  assignmentSequence: 0,
  intervals: [],
  earlier: [],
};
