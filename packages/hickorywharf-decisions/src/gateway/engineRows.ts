import type {EngineReport} from 'hickorywharf-types/gateway/engineReport';
import type {EngineRow} from 'hickorywharf-types/gateway/engineRow';

/**
 * Converts reports of engines from and to the rows that frames carry, which
 * leave out the names of the fields.
 *
 * @example
 *     ENGINE_ROWS.read(ENGINE_ROWS.write(report)); // report
 */
export const ENGINE_ROWS = {
  write: (report: EngineReport): EngineRow => [
    report.endpointId,
    report.startedAt,
    report.running,
    Math.round(report.pendingTokens),
    Math.round(report.memoryTokens),
    Math.round(report.observedMilliseconds),
    Math.round(report.expectedMilliseconds),
  ],
  read: (row: EngineRow): EngineReport => ({
    endpointId: row[0],
    startedAt: row[1],
    running: row[2],
    pendingTokens: row[3],
    memoryTokens: row[4],
    observedMilliseconds: row[5],
    expectedMilliseconds: row[6],
  }),
} as const;
