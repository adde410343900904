import type {Frame} from 'hickorywharf-types/frame';

type AttemptFrame = Extract<Frame, {tag: 'attempt'}>;

/** What an endpoint process's decisions ask of the process around them. */
export type EndpointCommand =
  | {readonly tag: 'send'; readonly peer: string; readonly frame: Frame}
  | {
      readonly tag: 'startBackend';
      readonly attempt: AttemptFrame;
      readonly remainingMilliseconds: number;
    }
  | {readonly tag: 'cancelBackend'; readonly attemptId: string}
  | {
      /** Claims a key in the store; `claimSettled` tells what came of it. */
      readonly tag: 'claim';
      readonly pool: string;
      readonly idempotencyKey: string;
      readonly attemptId: string;
      readonly remainingMilliseconds: number;
    }
  | {readonly tag: 'accepted'; readonly attempt: AttemptFrame};
