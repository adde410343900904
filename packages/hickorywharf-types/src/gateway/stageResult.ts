/** The outcome of one piece of an order. */
export type StageResult =
  | {
      readonly tag: 'made';
      /** Position of the piece within the stage. */
      readonly piece: number;
      /** Identifies the result at the endpoint that holds it. */
      readonly handle: string;
      /** The endpoint that holds the result. */
      readonly endpointId: string;
    }
  | {
      /**
       * `inputGone`: a result that the piece reads no longer exists. `expired`:
       * the piece cannot be computed before its deadline.
       */
      readonly tag: 'inputGone' | 'expired' | 'failed';
      readonly piece: number;
    };
