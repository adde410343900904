/** What this process makes of another, from what it has seen itself. */
export const memberStates = {
  /** Connected, and heard of within the time of silence. */
  live: 'live',
  /** Connected and silent: slow or paused, or the link is. */
  silent: 'silent',
  /** Not connected: dead, gone, or cut off. */
  lost: 'lost',
  /** Said, by itself or by the list, to be leaving. */
  leaving: 'leaving',
} as const;
