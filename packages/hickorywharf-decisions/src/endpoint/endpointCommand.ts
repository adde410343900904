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
  | {readonly tag: 'accepted'; readonly attempt: AttemptFrame};
