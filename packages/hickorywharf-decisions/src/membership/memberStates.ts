/** States of another process, by what this one has observed itself. */
export const memberStates = {
  /** Connected, with a frame received within the silence timeout. */
  live: 'live',
  /** Connected but unresponsive: the process or the link is slow or paused. */
  silent: 'silent',
  /** Not connected: stopped, crashed or partitioned. */
  lost: 'lost',
  /** Leaving, as announced by itself or by the list of instances. */
  leaving: 'leaving',
} as const;
