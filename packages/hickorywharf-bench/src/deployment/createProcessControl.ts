import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import type {startProcess} from './startProcess.ts';

type StartedProcess = ReturnType<typeof startProcess>;

/** Stops, kills and suspends the processes of a deployment. */
interface ProcessControl {
  /**
   * Records in the history if a process exits without having been stopped or
   * killed, or exits with code 1.
   */
  recordUnexpectedExit(name: string): void;
  /** Records the stop as unplanned; resolves when the process has exited. */
  kill(name: string): Promise<void>;
  /** Sends SIGTERM; resolves with the exit code. */
  stopOne(name: string): Promise<number | null>;
  /** Suspends a process until `resume`. */
  pause(name: string): void;
  resume(name: string): void;
  /** Stops every process, and kills those that do not exit within 20 s. */
  stopAll(): Promise<void>;
}

const STOP_TIMEOUT_MILLISECONDS = 20_000;
const FAILED_EXIT_CODE = 1;

/**
 * Stops, kills and suspends processes by their names, and records it in the
 * history.
 *
 * @example
 *     await createProcessControl(processes, history).kill('entry-1');
 */
export function createProcessControl(
  processes: ReadonlyMap<string, StartedProcess>,
  history: HistoryRecorder,
): ProcessControl {
  const expectedExits = new Set<StartedProcess>();

  async function recordCrash(name: string): Promise<void> {
    const started = processes.get(name)!;
    const exitCode = await started.exited;
    if (expectedExits.has(started) && exitCode !== FAILED_EXIT_CODE) return;
    history.record({tag: 'processCrashed', name, exitCode});
  }

  function stopOne(name: string): Promise<number | null> {
    const started = processes.get(name)!;
    expectedExits.add(started);
    started.signal('SIGTERM');
    return started.exited;
  }

  async function kill(name: string): Promise<void> {
    const started = processes.get(name)!;
    expectedExits.add(started);
    // Recorded before the signal: a caller may lose its connection at once.
    history.record({tag: 'processStopped', name, planned: false});
    started.signal('SIGKILL');
    await started.exited;
  }

  return {
    recordUnexpectedExit: (name) => void recordCrash(name),
    kill,
    stopOne,
    pause(name) {
      history.record({tag: 'processPaused', name});
      processes.get(name)!.signal('SIGSTOP');
    },
    resume(name) {
      processes.get(name)!.signal('SIGCONT');
      history.record({tag: 'processResumed', name});
    },
    async stopAll() {
      const names = [...processes.keys()];
      const stopped = names.map(stopOne);
      const timer = setTimeout(() => {
        for (const name of names) void kill(name);
      }, STOP_TIMEOUT_MILLISECONDS);
      await Promise.all(stopped);
      clearTimeout(timer);
    },
  };
}
