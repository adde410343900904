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
      readonly peer: string;
      readonly frame: Frame;
    }
  | {
      readonly tag: 'backendTokens';
      readonly attemptId: string;
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
  | {readonly tag: 'peerDisconnected'; readonly peer: string}
  | {readonly tag: 'leaveRequested'}
  | {
      readonly tag: 'homesRead';
      readonly record: HomeRecord;
      /** Revision of the store at which the record was read. */
      readonly revision: number;
    }
  | {
      /**
       * Precedes the write of the release, which may be applied unconfirmed.
       */
      readonly tag: 'homesReleasing';
      readonly homes: readonly HomeInterval[];
    }
  | {
      readonly tag: 'configurationInForce';
      readonly view: ConfigurationView;
    }
  | {
      readonly tag: 'claimResolved';
      readonly attemptId: string;
      readonly outcome: ClaimOutcome;
    }
  | {readonly tag: 'ticked'};
