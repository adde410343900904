import type {Frame} from 'hickorywharf-types/frame';
import type {TransportError} from './transportError.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

const {protocolMinimum, protocolMaximum} = TRANSPORT_LIMITS;

type HelloError = Pick<TransportError, 'tag' | 'message'>;

function describeVersions(
  frame: Extract<Frame, {tag: 'hello' | 'helloRefused'}>,
): string {
  return `the peer speaks versions ${frame.protocolMinimum} to ${frame.protocolMaximum}, this process ${protocolMinimum} to ${protocolMaximum}`;
}

/**
 * Why the first frame of a peer does not open a connection, or null where it
 * does.
 *
 * @param expectedPeer name that the peer must have, or null for any
 * @example
 *     findHelloError({tag: 'attemptUnknown', …}, null)?.tag; // protocolVersion
 */
export function findHelloError(
  frame: Frame,
  expectedPeer: string | null,
): HelloError | null {
  if (frame.tag === 'helloRefused') {
    return {tag: 'protocolVersion', message: describeVersions(frame)};
  }
  if (frame.tag !== 'hello') {
    return {tag: 'protocolVersion', message: 'the first frame is not hello'};
  }
  const isCompatible =
    frame.protocolMinimum <= protocolMaximum &&
    frame.protocolMaximum >= protocolMinimum;
  if (!isCompatible) {
    return {tag: 'protocolVersion', message: describeVersions(frame)};
  }
  if (expectedPeer !== null && frame.identity.name !== expectedPeer) {
    // Addresses are given anew to other instances, and the list lags.
    const message = `at this address is '${frame.identity.name}' now`;
    return {tag: 'wrongPeer', message};
  }
  return null;
}
