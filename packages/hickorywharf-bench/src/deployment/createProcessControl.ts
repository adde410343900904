import type {HistoryRecorder} from 'hickorywharf-telemetry/historyRecorder';
import type {startProcess} from './startProcess.ts';

type StartedProcess = ReturnType<typeof startProcess>;

/** Stops, kills and suspends the processes of a deployment. */
interface ProcessControl {
  /** Records the end of a process that nobody asked to end. */
  watch(name: string): void;
  kill(name: string): Promise<void>;
  stopOne(name: string): Promise<number | null>;
  pause(name: string): void;
  resume(name: string): void;
  stopAll(): Promise<void>;
}

const STOP_MILLISECONDS = 20_000;
const FAILED_EXIT_CODE = 1;

/**
 * Controls processes by their identifiers and records in the history what was
 * done to them.
 *
 * @example
 *     await createProcessControl(processes, history).kill('entry-1');
 */
export function createProcessControl(
  processes: ReadonlyMap<string, StartedProcess>,
  history: HistoryRecorder,
): ProcessControl {
  const asked = new Set<StartedProcess>();

  async function noteCrash(name: string): Promise<void> {
    const started = processes.get(name)!;
    const exitCode = await started.exited;
    if (asked.has(started) && exitCode !== FAILED_EXIT_CODE) return;
    history.record({tag: 'processCrashed', name, exitCode});
  }

  function stopOne(name: string): Promise<number | null> {
    const started = processes.get(name)!;
    asked.add(started);
    started.signal('SIGTERM');
    return started.exited;
  }

  async function kill(name: string): Promise<void> {
    const started = processes.get(name)!;
    asked.add(started);
    // Before the signal: a caller may lose its connection at once.
    history.record({tag: 'processStopped', name, planned: false});
    started.signal('SIGKILL');
    await started.exited;
  }

  return {
    watch: (name) => void noteCrash(name),
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
      }, STOP_MILLISECONDS);
      await Promise.all(stopped);
      clearTimeout(timer);
    },
  };
}
