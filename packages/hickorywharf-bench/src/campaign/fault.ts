import type {FaultEnvironment} from './faultEnvironment.ts';

/** A kind of fault that a campaign injects. */
export interface Fault {
  /** Which processes it may affect; a fault of the store ignores its target. */
  readonly targets: 'entry' | 'endpoint' | 'desk' | 'store';
  /** Injects the fault, waits for its duration and reverts it. */
  inject(
    environment: FaultEnvironment,
    target: string,
    milliseconds: number,
  ): Promise<void>;
}
