import type {Outcome} from 'hickorywharf-types/outcome';

/** Why a backend gave no whole result. */
export interface BackendError {
  readonly tag: 'unreachable' | 'rejected' | 'broken' | 'cancelled';
  readonly step: 'execute';
  readonly peer: string;
  /** `notRun` only where no byte of the call can have reached the backend. */
  readonly outcome: Outcome;
  readonly message: string;
}
