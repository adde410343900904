import type {Frame} from 'hickorywharf-types/frame';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

/** Effects that the decision core of an endpoint process requests. */
export type EndpointCommand =
  /** Sends a frame to the entry with the incarnation `peer`. */
  | {readonly tag: 'send'; readonly peer: string; readonly frame: Frame}
  | {
      readonly tag: 'startBackend';
      readonly attempt: AttemptFrame;
      /**
       * Time until the deadline; not above 0 for an action that joined attempts
       * kept in the queue past it.
       */
      readonly remainingMilliseconds: number;
    }
  | {readonly tag: 'cancelBackend'; readonly attemptId: string}
  | {
      /** Claims a key in the store; a `claimResolved` event has the result. */
      readonly tag: 'claim';
      readonly pool: string;
      readonly idempotencyKey: string;
      readonly attemptId: string;
      /** Time until the deadline, after which the claim is of no use. */
      readonly remainingMilliseconds: number;
    }
  /** Reports that an attempt entered the queue. */
  | {readonly tag: 'accepted'; readonly attempt: AttemptFrame};
