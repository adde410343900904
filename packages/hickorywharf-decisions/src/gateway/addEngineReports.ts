import type {EngineReport} from 'hickorywharf-types/gateway/engineReport';

/**
 * Adds the report of an instance to a sum, or takes it out again; no value of
 * the sum falls below 0, as reports may be older than the sum. Of reports of
 * two incarnations of an engine, only that of the newer one counts.
 *
 * @param sign 1 to add, -1 to take out
 * @example
 *     addEngineReports(undefined, report, 1); // report
 */
export function addEngineReports(
  sum: EngineReport | undefined,
  report: EngineReport | undefined,
  sign: 1 | -1,
): EngineReport {
  if (sum === undefined) return report!;
  if (report === undefined || report.startedAt < sum.startedAt) return sum;
  if (report.startedAt > sum.startedAt) return sign > 0 ? report : sum;
  const add = (left: number, right: number): number =>
    Math.max(0, left + sign * right);
  return {
    endpointId: sum.endpointId,
    startedAt: sum.startedAt,
    running: add(sum.running, report.running),
    pendingTokens: add(sum.pendingTokens, report.pendingTokens),
    memoryTokens: add(sum.memoryTokens, report.memoryTokens),
    observedMilliseconds: add(
      sum.observedMilliseconds,
      report.observedMilliseconds,
    ),
    expectedMilliseconds: add(
      sum.expectedMilliseconds,
      report.expectedMilliseconds,
    ),
  };
}
