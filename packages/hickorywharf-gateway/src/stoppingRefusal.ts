import type {Refusal} from './refusal.ts';

/** Refuses a call that did not run because this instance stops. */
export const STOPPING_REFUSAL: Refusal = {
  tag: 'stopping',
  message: 'this instance stops',
  // Enough to connect to another instance.
  retryAfterMilliseconds: 100,
};
