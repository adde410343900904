import type {ConfigurationView} from '../configuration/configurationView.ts';
import type {ClaimOutcome} from '../homes/claimOutcome.ts';
import type {HomeRecord} from '../homes/homeRecord.ts';
import type {Frame} from 'hickorywharf-types/frame';
import type {HomeInterval} from 'hickorywharf-types/homeInterval';
import type {Outcome} from 'hickorywharf-types/outcome';
import type {StageOutput} from 'hickorywharf-types/stageOutput';

/** Inputs of the decision core of an endpoint process. */
export type EndpointEvent =
  | {
      readonly tag: 'frameArrived';
      /** Incarnation of the entry that sent the frame. */
      readonly peer: string;
      readonly frame: Frame;
    }
  | {
      readonly tag: 'backendTokens';
      readonly attemptId: string;
      /** Tokens since the previous event of the attempt, in order. */
      readonly tokens: readonly string[];
    }
  | {
      readonly tag: 'backendFinished';
      readonly attemptId: string;
      readonly output: StageOutput;
    }
  | {
      readonly tag: 'backendFailed';
      readonly attemptId: string;
      /** `notRun` only if no byte can have reached the backend. */
      readonly outcome: Outcome;
      readonly message: string;
    }
  /** The incarnation `peer` of an entry has not reconnected in time. */
  | {readonly tag: 'peerDisconnected'; readonly peer: string}
  | {readonly tag: 'leaveRequested'}
  | {
      /**
       * The home record was read from the store, or written by this process.
       */
      readonly tag: 'homesRead';
      readonly record: HomeRecord;
      /** Revision of the store at which the record was read or written. */
      readonly revision: number;
    }
  | {
      /**
       * This process is about to write the release of these intervals. From now
       * on it refuses keys issued at or after their `until`, since the write may
       * be applied although no confirmation arrives.
       */
      readonly tag: 'homesReleasing';
      /** Intervals with the `until` that the write gives them. */
      readonly homes: readonly HomeInterval[];
    }
  | {
      /** This process has applied configuration entries; `view` is active. */
      readonly tag: 'configurationInForce';
      readonly view: ConfigurationView;
    }
  | {
      readonly tag: 'claimResolved';
      readonly attemptId: string;
      readonly outcome: ClaimOutcome;
    }
  /**
   * Sent by a timer, so that old outcomes are evicted and late attempts end.
   */
  | {readonly tag: 'ticked'};
