/**
 * Begins the names of requests among suspects. Ids of parts of prompts hold no
 * comma, so that none looks like a request.
 */
export const REQUEST_PREFIX = 'request,';
