import type {Frame} from 'hickorywharf-types/frame';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

/** Effects that the decision core of an endpoint process requests. */
export type EndpointCommand =
  | {readonly tag: 'send'; readonly peer: string; readonly frame: Frame}
  | {
      readonly tag: 'startBackend';
      readonly attempt: AttemptFrame;
      readonly remainingMilliseconds: number;
    }
  | {readonly tag: 'cancelBackend'; readonly attemptId: string}
  | {
      /** Claims a key in the store; a `claimResolved` event has the result. */
      readonly tag: 'claim';
      readonly pool: string;
      readonly idempotencyKey: string;
      readonly attemptId: string;
      readonly remainingMilliseconds: number;
    }
  | {readonly tag: 'accepted'; readonly attempt: AttemptFrame};
