import type {GatewayRoute} from './gatewayRoute.ts';
import type {GatewayService} from './gatewayService.ts';

/** One version of the configuration that operators wrote. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: ReadonlyMap<string, GatewayService>;
  readonly limits: {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerMilliseconds: number;
    readonly idleMilliseconds: number;
  };
  /** Null if calls need no key. */
  readonly accountsByKey: ReadonlyMap<
    string,
    {readonly name: string; readonly priority: number | null}
  > | null;
}
