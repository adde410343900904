import type {Refusal} from './refusal.ts';

/**
 * The HTTP status of each refusal. 503 guarantees that the request did not and
 * will not run; 502 and 504 guarantee nothing.
 */
export const refusalStatuses: Readonly<Record<Refusal['tag'], number>> = {
  invalidRequest: 400,
  bodyTooLarge: 413,
  unknownRoute: 404,
  unauthenticated: 401,
  notReady: 503,
  unconfirmed: 503,
  overloaded: 503,
  versionUnknown: 503,
  quarantined: 503,
  noEndpoint: 503,
  stopping: 503,
  deadlineExceeded: 503,
  endpointFailed: 502,
  timedOut: 504,
  interrupted: 502,
};
