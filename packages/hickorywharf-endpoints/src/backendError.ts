import type {Outcome} from 'hickorywharf-types/outcome';

/** Why a call to a backend gave no complete result. */
export interface BackendError {
  readonly tag: 'unreachable' | 'rejected' | 'broken' | 'cancelled';
  readonly step: 'execute';
  /** Base address of the backend. */
  readonly peer: string;
  /** `notRun` only where no byte of the call can have reached the backend. */
  readonly outcome: Outcome;
  readonly message: string;
}
