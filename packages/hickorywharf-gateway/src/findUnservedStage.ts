import type {CallContext} from './callContext.ts';
import type {GatewayState} from './gatewayState.ts';

/**
 * Finds a service that a stage of the call needs and that has no usable
 * endpoint: the call would wait for its whole time. Null if there is none.
 *
 * @example
 *     findUnservedStage(state, context); // 'scan'
 */
export function findUnservedStage(
  state: GatewayState,
  {call, route}: Pick<CallContext, 'call' | 'route'>,
): string | null {
  const unserved = route.stages.find(
    ({service}, position) =>
      (call.pieces[position] ?? 0) > 0 &&
      state.directory.getUsable(service).length === 0,
  );
  return unserved?.service ?? null;
}
