/** Timers of a gateway, in milliseconds, with their help texts. */
export const GATEWAY_TIMERS = {
  answer: {meaning: "from a request's head to the end of its answer"},
  stageCall: {meaning: 'from sending a call for pieces to its answer'},
  stages: {meaning: 'all stages of a request'},
  storeRead: {meaning: "a read of the platform's store that succeeded"},
  peerFetch: {meaning: 'a fetch of state from another instance, to its reply'},
  configurationFetch: {
    meaning: 'a fetch of a newer configuration from another instance',
  },
  evacuationChange: {
    meaning:
      'from the read of the store that showed an order to evacuate, or its end, to its effect',
  },
  configurationAge: {
    meaning: 'age of the configuration that admitted or refused a request',
  },
} as const;
