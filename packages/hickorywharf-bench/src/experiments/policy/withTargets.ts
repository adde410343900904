import type {ExperimentReport} from '../experimentReport.ts';

type Figure = ExperimentReport['runs'][number]['figures'][number];

/**
 * Returns the figures with targets set by name; others keep their target.
 *
 * @example
 *     withTargets(figures, {attainment: {atLeast: 0.99}});
 */
export function withTargets(
  figures: readonly Figure[],
  targets: Readonly<Record<string, NonNullable<Figure['target']>>>,
): Figure[] {
  return figures.map((figure) => ({
    ...figure,
    target: targets[figure.name] ?? figure.target,
  }));
}
