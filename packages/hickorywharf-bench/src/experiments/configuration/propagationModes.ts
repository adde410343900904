/** The modes of propagation that are compared, as settings of a process. */
export const propagationModes = {
  'watch each': {follow: 'watchEach', relay: 'none'},
  polling: {follow: 'poll', relay: 'none'},
  'watchers and push': {follow: 'watchers', relay: 'push'},
  'watchers and announce': {follow: 'watchers', relay: 'announce'},
  'probes and announce': {follow: 'probes', relay: 'announce'},
} as const;
