import type {Frame} from 'hickorywharf-types/frame';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

/** Effects that the decision core of an endpoint process requests. */
export type EndpointCommand =
  /** Sends a frame to the entry with the incarnation `peer`. */
  | {readonly tag: 'send'; readonly peer: string; readonly frame: Frame}
  | {
      /** Runs an attempt at the backend. */
      readonly tag: 'startBackend';
      readonly attempt: AttemptFrame;
      /**
       * Time until the attempt's deadline. It is 0 or negative if the deadline
       * has passed and the action stayed queued because other attempts had
       * joined it.
       */
      readonly remainingMilliseconds: number;
    }
  /** Cancels an attempt that runs at the backend. */
  | {readonly tag: 'cancelBackend'; readonly attemptId: string}
  | {
      /** Claims a key in the store; a `claimResolved` event has the result. */
      readonly tag: 'claim';
      readonly pool: string;
      readonly idempotencyKey: string;
      readonly attemptId: string;
      /** Time until the attempt's deadline; claiming is given up after it. */
      readonly remainingMilliseconds: number;
    }
  /** Records, for telemetry and the history, that an attempt was queued. */
  | {readonly tag: 'accepted'; readonly attempt: AttemptFrame};
