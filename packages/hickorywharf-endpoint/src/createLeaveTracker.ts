import type {EndpointState} from 'hickorywharf-decisions/endpoint/endpointState';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';

interface LeaveTrackerOptions {
  readonly name: string;
  readonly state: EndpointState;
  readonly history: HistoryRecorder;
}

interface LeaveTracker {
  /** Whether the endpoint leaves, by a stop or by its record. */
  isLeaving(): boolean;
  /** Records that the endpoint began to leave, or is back. */
  update(): void;
}

/**
 * Tells and records when an endpoint leaves.
 *
 * @example
 *     const departures = createLeaveTracker({name: 'desk-1', state, history});
 *     departures.note();
 */
export function createLeaveTracker(options: LeaveTrackerOptions): LeaveTracker {
  const {name, state, history} = options;
  let wasLeaving = false;

  function isLeaving(): boolean {
    const draining = state.configuration?.endpoints.get(name)?.draining;
    return state.leaving || draining === true;
  }

  return {
    isLeaving,
    update() {
      const leaves = isLeaving();
      if (leaves && !wasLeaving) {
        const signal = state.leaving ? 'stop' : 'record';
        history.record({tag: 'endpointLeaving', endpoint: name, signal});
      }
      if (!leaves && wasLeaving) {
        history.record({tag: 'endpointReturned', endpoint: name});
      }
      wasLeaving = leaves;
    },
  };
}
