import type {ConfigurationView} from '../configuration/configurationView.ts';
import type {Frame} from 'hickorywharf-types/frame';
import type {Instance} from 'hickorywharf-types/instance';
import type {StageInput} from 'hickorywharf-types/stageInput';

/** An input of the decision core of an entry. */
export type EntryEvent =
  | {
      readonly tag: 'requestArrived';
      readonly requestId: string;
      readonly pipelineName: string;
      /** Hash of the caller's API key; empty where none was sent. */
      readonly keyHash: string;
      readonly input: StageInput;
      readonly idempotencyKey: string | null;
      /** Digest of the request body; null without an idempotency key. */
      readonly bodyDigest: string | null;
      /**
       * Time until the caller's own deadline; null if it has none. The
       * pipeline's deadline applies if it is earlier.
       */
      readonly deadlineMilliseconds: number | null;
      readonly traceparent: string | null;
    }
  | {readonly tag: 'callerGone'; readonly requestId: string}
  | {
      readonly tag: 'endpointConnected';
      readonly endpoint: string;
      readonly incarnation: string;
    }
  | {readonly tag: 'endpointDisconnected'; readonly endpoint: string}
  | {
      readonly tag: 'frameArrived';
      readonly endpoint: string;
      readonly frame: Frame;
    }
  | {
      /** The endpoint is not connected: no byte of the frame was written. */
      readonly tag: 'attemptNotSent';
      readonly endpoint: string;
      readonly attemptId: string;
    }
  | {
      readonly tag: 'instancesListed';
      readonly instances: readonly Instance[];
    }
  | {
      readonly tag: 'configurationInForce';
      readonly view: ConfigurationView;
    }
  | {readonly tag: 'ticked'};
