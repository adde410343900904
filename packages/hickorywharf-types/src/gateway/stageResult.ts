/** The outcome of one piece of an order. */
export type StageResult =
  | {
      readonly tag: 'made';
      readonly piece: number;
      readonly handle: string;
      /** The endpoint that holds the result. */
      readonly endpointId: string;
    }
  | {
      readonly tag: 'inputGone' | 'expired' | 'failed';
      readonly piece: number;
    };
