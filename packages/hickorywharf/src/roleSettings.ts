import {queuePolicies} from 'hickorywharf-decisions/endpoint/policies/queuePolicies';
import {routingPolicies} from 'hickorywharf-decisions/entry/policies/routingPolicies';
import {endpointSettings} from 'hickorywharf-validation/endpointSettings';
import {entrySettings} from 'hickorywharf-validation/entrySettings';
import {gatewaySettings} from 'hickorywharf-validation/gatewaySettings';

/** A setting whose value is the name of a policy. */
interface NameSetting {
  readonly section: string;
  readonly key: string;
  readonly allowedNames: readonly string[];
}

/**
 * The settings of each role, with the policy names that hickorywharf-decisions
 * defines and that the schemas therefore cannot check.
 */
export const roleSettings = {
  entry: {
    schema: entrySettings,
    /** A section that no other role has, by which a file is recognised. */
    uniqueSection: 'http',
    nameSettings: [
      {
        section: 'policy',
        key: 'routing',
        allowedNames: Object.keys(routingPolicies),
      },
    ] satisfies NameSetting[],
  },
  endpoint: {
    schema: endpointSettings,
    uniqueSection: 'backend',
    nameSettings: [
      {
        section: 'queue',
        key: 'order',
        allowedNames: Object.keys(queuePolicies),
      },
    ] satisfies NameSetting[],
  },
  gateway: {
    schema: gatewaySettings,
    uniqueSection: 'store',
    nameSettings: [] as NameSetting[],
  },
} as const;
