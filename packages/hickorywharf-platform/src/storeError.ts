/** What can go wrong between a process and the platform's store. */
export type StoreError =
  | {
      /** The compare-and-swap lost; nothing was written. */
      readonly tag: 'conflict';
      readonly step: 'claim';
      readonly peer: string;
      readonly message: string;
    }
  | {
      /** Nothing was written: no connection, or the store refused the call. */
      readonly tag: 'unavailable';
      readonly step: 'claim';
      readonly peer: string;
      readonly message: string;
    }
  | {
      /** A write may have landed; only reading back can tell. */
      readonly tag: 'ambiguous';
      readonly step: 'claim';
      readonly peer: string;
      readonly message: string;
    };
