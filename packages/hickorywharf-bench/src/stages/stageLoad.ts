/** One service of stages in the model. */
interface ModelService {
  readonly endpoints: number;
  readonly batch: number;
  readonly callMilliseconds: number;
  readonly pieceMilliseconds: number;
  readonly roomBytes: number;
}

/** A kind of request in the model. */
interface ModelKind {
  readonly perSecond: number;
  readonly worth: number;
  readonly lateWorth: number;
  readonly priority: number;
  readonly targetMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly stages: ReadonlyArray<{
    readonly service: string;
    /** Positions of the stages that it reads; the one before it without. */
    readonly after?: readonly number[];
    /** Share of the requests that have the stage; all without it. */
    readonly share?: number;
    /** The mean number of pieces; 1 at least. */
    readonly pieces: number;
    readonly resultBytes: number;
    /** Work on a piece against the service's usual one. */
    readonly workShare: number;
  }>;
}

/** A load of an experiment: services, kinds of requests and bursts of them. */
export interface StageLoad {
  readonly seconds: number;
  readonly services: Readonly<Record<string, ModelService>>;
  readonly kinds: Readonly<Record<string, ModelKind>>;
  readonly bursts: ReadonlyArray<{
    readonly kind: string;
    readonly fromSecond: number;
    readonly toSecond: number;
    readonly factor: number;
  }>;
}
