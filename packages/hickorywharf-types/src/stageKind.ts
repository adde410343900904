/** The kinds of stages in a pipeline. `call` runs an action. */
export type StageKind = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';
