/** The only service of simulated endpoints that serve streams. */
export const SIMULATED_SERVICE = 'engines';
