import {queuePolicies} from 'hickorywharf-decisions/endpoint/policies/queuePolicies';
import {routingPolicies} from 'hickorywharf-decisions/entry/policies/routingPolicies';
import {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import {entrySettings} from 'hickorywharf-validation/entrySettings';
import {gatewaySettings} from 'hickorywharf-validation/gatewaySettings';

/** A setting that names an entry of a table. */
interface NameSetting {
  readonly section: string;
  readonly key: string;
  readonly names: readonly string[];
}

/** The settings of each role, with the names that only the decisions know. */
export const roleSettings = {
  entry: {
    schema: entrySettings,
    /** A section that no other role has. */
    ownSection: 'http',
    names: [
      {section: 'policy', key: 'routing', names: Object.keys(routingPolicies)},
    ] satisfies NameSetting[],
  },
  endpoint: {
    schema: endpointSettings,
    ownSection: 'backend',
    names: [
      {section: 'queue', key: 'order', names: Object.keys(queuePolicies)},
    ] satisfies NameSetting[],
  },
  gateway: {
    schema: gatewaySettings,
    ownSection: 'store',
    names: [] as NameSetting[],
  },
} as const;
