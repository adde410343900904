import type {GatewayRoute} from './gatewayRoute.ts';
import type {GatewayService} from './gatewayService.ts';

/** One version of the configuration that operators wrote. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: ReadonlyMap<string, GatewayService>;
  /** Limits for the requests and connections of callers. */
  readonly limits: {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    /** Time in which the headers of a request have to arrive. */
    readonly headerMilliseconds: number;
    /** Time after which a connection without a request is closed. */
    readonly idleMilliseconds: number;
  };
  /**
   * Client accounts by their keys; null if calls need no key. The priority of
   * an account replaces that of the route unless it is null.
   */
  readonly accountsByKey: ReadonlyMap<
    string,
    {readonly name: string; readonly priority: number | null}
  > | null;
}
