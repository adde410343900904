import type {Result} from 'neverthrow';
import type {GatewayConfiguration} from './gatewayConfiguration.ts';
import type {GatewayEndpoint} from './gatewayEndpoint.ts';
import type {GatewayInstance} from './gatewayInstance.ts';
import type {ServiceVersion} from './serviceVersion.ts';
import type {StreamOrigin} from './streamOrigin.ts';

/** Why a read or write of the platform's store failed. */
interface SourceError {
  /**
   * `interrupted`: the store's response started, but did not arrive in time.
   * `unreadable`: the store responded, but in an unexpected format.
   */
  readonly tag: 'unavailable' | 'interrupted' | 'unreadable';
  /** The read or write that failed. */
  readonly step: string;
  /** Address of the store. */
  readonly peer: string;
  readonly message: string;
}

/** Reads the configuration and registers instances in the platform's store. */
export interface GatewaySource {
  /**
   * The newest configuration; null if operators have written none yet.
   *
   * @param onVersion receives the version of the configuration as soon as it
   *     has arrived, which is long before the rest on a slow link; not called
   *     if the configuration does not start with its version
   */
  readConfiguration(
    onVersion: (version: number) => void,
  ): Promise<Result<GatewayConfiguration | null, SourceError>>;
  readEndpoints(): Promise<Result<GatewayEndpoint[], SourceError>>;
  /**
   * The failure domains that operators want evacuated. An order that can't be
   * read, or that names no failure domain, is no error.
   */
  readEvacuations(): Promise<Result<string[], SourceError>>;
  /** Registers this instance or renews its registration for some seconds. */
  announce(): Promise<Result<null, SourceError>>;
  /** Removes the registration at a planned stop. */
  withdraw(): Promise<Result<null, SourceError>>;
  /**
   * The newest generation of the store's data that was seen; 0 before. It rises
   * when the store was restored from a copy that is some seconds old.
   */
  getGeneration(): number;
  /** The registered instances, including this one if it is registered. */
  readInstances(): Promise<Result<GatewayInstance[], SourceError>>;
  /** Keeps where streams began for at least so long. */
  writeStreams(
    origins: readonly StreamOrigin[],
    keepMilliseconds: number,
  ): Promise<Result<null, SourceError>>;
  /** The streams that all instances have written and that are still kept. */
  readStreams(): Promise<Result<StreamOrigin[], SourceError>>;
  /**
   * Keeps for so long the versions at which this instance may begin streams, in
   * place of those that it wrote before.
   */
  writeVersions(
    versions: readonly ServiceVersion[],
    keepMilliseconds: number,
  ): Promise<Result<null, SourceError>>;
  /**
   * The versions that all instances have written and that are still kept. One
   * entry that can't be read is an error, as a version may be missing.
   */
  readVersions(): Promise<Result<ServiceVersion[], SourceError>>;
}
