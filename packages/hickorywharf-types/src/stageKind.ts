/** The kinds of stage that a pipeline is made of. */
export type StageKind = 'encode' | 'retrieve' | 'rerank' | 'generate' | 'call';
