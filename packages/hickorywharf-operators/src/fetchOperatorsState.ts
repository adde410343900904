import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {OperatorsState} from './operatorsState.ts';

/** Why the state of a process could not be fetched. */
interface OperatorsStateError {
  readonly tag: 'unavailable';
  readonly step: 'receive';
  readonly peer: string;
  readonly message: string;
}

const TIMEOUT_MILLISECONDS = 2000;

async function load(url: string): Promise<OperatorsState> {
  const {statusCode, body} = await request(`${url}/v1/state`, {
    headersTimeout: TIMEOUT_MILLISECONDS,
    bodyTimeout: TIMEOUT_MILLISECONDS,
  });
  if (statusCode !== 200) throw new Error(`HTTP status ${statusCode}`);
  return (await body.json()) as OperatorsState;
}

/**
 * Fetches the state of a process from its address for operators.
 *
 * @param url base address, `http://IP:PORT`
 * @example
 *     await fetchOperatorsState('http://127.0.0.1:7300');
 */
export function fetchOperatorsState(
  url: string,
): ResultAsync<OperatorsState, OperatorsStateError> {
  return ResultAsync.fromPromise(load(url), (error) => ({
    tag: 'unavailable' as const,
    step: 'receive' as const,
    peer: url,
    message: (error as Error).message,
  }));
}
