import type {Frame} from 'hickorywharf-types/frame';
import type {TransportError} from './transportError.ts';
import {TRANSPORT_LIMITS} from './transportLimits.ts';

const {protocolMinimum, protocolMaximum} = TRANSPORT_LIMITS;

type HelloError = Pick<TransportError, 'tag' | 'message'>;

function describeVersions(
  frame: Extract<Frame, {tag: 'hello' | 'helloRefused'}>,
): string {
  return `the peer supports protocol versions ${frame.protocolMinimum} to ${frame.protocolMaximum}, this process ${protocolMinimum} to ${protocolMaximum}`;
}

/**
 * Checks the first frame of a peer. Returns why the connection is refused, or
 * null if it is accepted.
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
    // Addresses are reassigned, and the list of instances may be outdated.
    const message = `the process at this address is '${frame.identity.name}'`;
    return {tag: 'wrongPeer', message};
  }
  return null;
}
