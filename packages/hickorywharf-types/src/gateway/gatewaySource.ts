import type {Result} from 'neverthrow';
import type {GatewayConfiguration} from './gatewayConfiguration.ts';
import type {GatewayEndpoint} from './gatewayEndpoint.ts';
import type {GatewayInstance} from './gatewayInstance.ts';

/** Why the platform's store gave no answer that can be used. */
interface SourceError {
  readonly tag: 'unavailable' | 'unreadable';
  readonly step: string;
  readonly peer: string;
  readonly message: string;
}

/** Where configuration, endpoints and our own instances are read from. */
export interface GatewaySource {
  /** The newest configuration; null where operators wrote none yet. */
  readConfiguration(): Promise<
    Result<GatewayConfiguration | null, SourceError>
  >;
  readEndpoints(): Promise<Result<GatewayEndpoint[], SourceError>>;
  /** Names this instance to the others for some seconds. */
  announce(): Promise<Result<null, SourceError>>;
  /** Takes the name back at a planned stop. */
  withdraw(): Promise<Result<null, SourceError>>;
  readInstances(): Promise<Result<GatewayInstance[], SourceError>>;
}
