import type {ConfigurationView} from 'hickorywharf-decisions/configuration/configurationView';
import type {StoredDocument} from 'hickorywharf-types/storedDocument';

/** The configuration before and after a change. */
export interface FindingInput {
  readonly before: ConfigurationView;
  readonly after: ConfigurationView;
  readonly documentsBefore: readonly StoredDocument[];
  readonly documentsAfter: readonly StoredDocument[];
}
