import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';

/** What became of an operator's change. */
export type ChangeOutcome =
  | {
      readonly tag: 'accepted';
      readonly sequence: number;
      readonly operation: string;
      readonly changes: ConfigurationEntry['changes'];
    }
  | {readonly tag: 'unchanged'; readonly sequence: number}
  | {
      /** The change is not in force and will not be. */
      readonly tag: 'refused';
      readonly message: string;
      /** Records that another operator changed meanwhile. */
      readonly overlap: readonly string[];
    }
  | {
      /** The store could not be reached; nothing was written. */
      readonly tag: 'unavailable';
      readonly message: string;
    }
  | {
      /** The store gave no answer: the change may come in force, or not. */
      readonly tag: 'unknown';
      readonly operation: string;
      readonly message: string;
    };
