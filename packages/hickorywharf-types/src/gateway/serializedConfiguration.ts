import type {GatewayConfiguration} from './gatewayConfiguration.ts';
import type {GatewayService} from './gatewayService.ts';

type AccountsByKey = NonNullable<GatewayConfiguration['accountsByKey']>;
type Account =
  AccountsByKey extends ReadonlyMap<string, infer Value> ? Value : never;

/** A configuration as instances send it, with lists instead of maps. */
export interface SerializedConfiguration extends Omit<
  GatewayConfiguration,
  'services' | 'accountsByKey'
> {
  readonly services: readonly GatewayService[];
  /** Pairs of a key and its account; null if calls need no key. */
  readonly accounts: ReadonlyArray<readonly [string, Account]> | null;
}
