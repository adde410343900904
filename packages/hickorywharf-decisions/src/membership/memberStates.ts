/** States of a process, by what another process has observed of it. */
export const memberStates = {
  /** Connected, and last seen within the silence timeout. */
  live: 'live',
  /** Connected but unresponsive: the process or the link is slow or paused. */
  silent: 'silent',
  /** Not connected: stopped, crashed or partitioned. */
  lost: 'lost',
  /** Connected, and leaving by its own statement; it may be unresponsive. */
  leaving: 'leaving',
} as const;
