/** A simulated service of stages. */
interface SimulatedService {
  readonly endpoints: number;
  /** The most pieces in one call. */
  readonly batch: number;
  /** Time of a call without its pieces. */
  readonly callMilliseconds: number;
  readonly pieceMilliseconds: number;
  /** Memory of an endpoint for results. */
  readonly roomBytes: number;
}

/** A kind of simulated requests. */
interface RequestKind {
  readonly perSecond: number;
  /** Value of a request that meets its target. */
  readonly worth: number;
  /** Value of a request that meets only its deadline. */
  readonly lateWorth: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targetMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** The client account of the requests; none by default. */
  readonly account?: string;
  /** How a refused request returns; not at all by default. */
  readonly retries?: {
    readonly most: number;
    /** Time until the return; as long as the refusal says by default. */
    readonly afterMilliseconds?: number;
  };
  readonly stages: ReadonlyArray<{
    readonly service: string;
    /** Positions of the stages that it reads; the previous one by default. */
    readonly after?: readonly number[];
    /** Share of the requests that have the stage; all by default. */
    readonly share?: number;
    /** Mean number of pieces; a request that has the stage has at least 1. */
    readonly pieces: number;
    readonly resultBytes: number;
    /** Work of a piece as a share of the service's `pieceMilliseconds`. */
    readonly workShare: number;
  }>;
}

/** A simulated load: services, kinds of requests and bursts of them. */
export interface StageLoad {
  readonly seconds: number;
  /** Number of instances that admit requests, by turns; 1 by default. */
  readonly instances?: number;
  readonly services: Readonly<Record<string, SimulatedService>>;
  readonly kinds: Readonly<Record<string, RequestKind>>;
  readonly bursts: ReadonlyArray<{
    readonly kind: string;
    readonly fromSecond: number;
    readonly toSecond: number;
    readonly factor: number;
  }>;
}
