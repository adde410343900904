import type {FaultEnvironment} from './faultEnvironment.ts';

/** A kind of fault, as the campaign's table has it. */
export interface Fault {
  /** What it may strike; `store` needs no name. */
  readonly targets: 'entry' | 'endpoint' | 'desk' | 'store';
  /** Strikes, waits for its time to pass and mends what it did. */
  strike(
    environment: FaultEnvironment,
    target: string,
    milliseconds: number,
  ): Promise<void>;
}
