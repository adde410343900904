import type {Backend} from './backend.ts';
import {createEngineBackend} from './createEngineBackend.ts';
import {createPoolBackend} from './createPoolBackend.ts';
import {createServiceBackend} from './createServiceBackend.ts';

/** The backend adapters, by `backend.kind` in an endpoint's settings. */
export const backendKinds: Readonly<
  Record<'engine' | 'pool' | 'service', (url: string) => Backend>
> = {
  engine: createEngineBackend,
  pool: createPoolBackend,
  service: createServiceBackend,
};
