import type {Frame} from 'hickorywharf-types/frame';
import type {ServeError} from 'hickorywharf-types/serveError';
import type {StageOutput} from 'hickorywharf-types/stageOutput';

/** A command of the decision core of an entry to the process that runs it. */
export type EntryCommand =
  | {
      readonly tag: 'send';
      readonly endpoint: string;
      readonly frame: Frame;
    }
  | {
      readonly tag: 'connect';
      readonly endpoint: string;
      readonly address: string;
      readonly port: number;
    }
  | {readonly tag: 'disconnect'; readonly endpoint: string}
  | {
      readonly tag: 'deliverTokens';
      readonly requestId: string;
      /** Position of the first of `tokens` in the generation. */
      readonly position: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly tag: 'answer';
      readonly requestId: string;
      readonly outputs: readonly StageOutput[];
    }
  | {
      readonly tag: 'fail';
      readonly requestId: string;
      readonly error: ServeError;
    };
