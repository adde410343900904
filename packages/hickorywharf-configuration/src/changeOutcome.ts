import type {ConfigurationEntry} from 'hickorywharf-types/configurationEntry';

/** Outcome of an operator's change. */
export type ChangeOutcome =
  | {
      readonly tag: 'accepted';
      readonly sequence: number;
      readonly operation: string;
      readonly changes: ConfigurationEntry['changes'];
    }
  | {readonly tag: 'unchanged'; readonly sequence: number}
  | {
      /** The change is not active and will not become active. */
      readonly tag: 'refused';
      readonly message: string;
      /** Records that another operator changed meanwhile, as `kind/name`. */
      readonly overlap: readonly string[];
    }
  | {
      /** The store could not be reached; nothing was written. */
      readonly tag: 'unavailable';
      readonly message: string;
    }
  | {
      /** The store did not respond: the change may or may not take effect. */
      readonly tag: 'unknown';
      readonly operation: string;
      readonly message: string;
    };
