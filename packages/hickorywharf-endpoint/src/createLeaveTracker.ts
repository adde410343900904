import type {EndpointState} from 'hickorywharf-decisions/endpoint/endpointState';
import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';

interface LeaveTrackerOptions {
  readonly name: string;
  readonly state: EndpointState;
  readonly history: HistoryRecorder;
}

interface LeaveTracker {
  /** True while the process stops or the configuration drains its endpoint. */
  isLeaving(): boolean;
  /** Records in the history if `isLeaving` has changed since the last call. */
  update(): void;
}

/**
 * Tracks whether an endpoint is leaving and records changes in the history.
 *
 * @example
 *     const tracker = createLeaveTracker({name: 'desk-1', state, history});
 *     tracker.update();
 *     tracker.isLeaving(); // false
 */
export function createLeaveTracker(options: LeaveTrackerOptions): LeaveTracker {
  const {name, state, history} = options;
  let wasLeaving = false;

  function isLeaving(): boolean {
    const isDraining = state.configuration?.endpoints.get(name)?.draining;
    return state.leaving || isDraining === true;
  }

  return {
    isLeaving,
    update() {
      const isLeavingNow = isLeaving();
      if (isLeavingNow && !wasLeaving) {
        const signal = state.leaving ? 'stop' : 'record';
        history.record({tag: 'endpointLeaving', endpoint: name, signal});
      }
      if (!isLeavingNow && wasLeaving) {
        history.record({tag: 'endpointReturned', endpoint: name});
      }
      wasLeaving = isLeavingNow;
    },
  };
}
