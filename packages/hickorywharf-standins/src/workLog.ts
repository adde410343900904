/** What a stand-in spent on one attempt. */
interface WorkItem {
  readonly requestId: string;
  readonly stage: string;
  readonly milliseconds: number;
  readonly ending: 'finished' | 'cancelled' | 'failed';
  /** Part of the time that went into the prompt. */
  readonly prefillMilliseconds: number;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** The work that stand-ins did, from which experiments tell waste apart. */
export interface WorkLog {
  readonly items: WorkItem[];
}
