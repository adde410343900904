/** Work of a stand-in on one attempt. */
interface WorkItem {
  readonly requestId: string;
  readonly stage: string;
  readonly milliseconds: number;
  readonly ending: 'finished' | 'cancelled' | 'failed';
  /** Part of `milliseconds` spent on the prompt. */
  readonly prefillMilliseconds: number;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Work that stand-ins did; experiments derive wasted work from it. */
export interface WorkLog {
  readonly items: WorkItem[];
}
