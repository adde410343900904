import {escapeText} from './escapeText.ts';

interface Line {
  readonly label: string;
  readonly points: readonly (readonly [number, number])[];
}

const WIDTH = 900;
const HEIGHT = 220;
const MARGIN = 40;
const LEGEND_WIDTH = 170;
const LINE_HEIGHT = 16;
const COLOURS = [
  '#1b6ca8',
  '#d1495b',
  '#2e933c',
  '#8e44ad',
  '#c77d0a',
  '#333333',
];

/**
 * Draws lines over time, in seconds, as an SVG chart.
 *
 * @example
 *     drawChart('attainment', [{label: 'chosen 1', points: [[0, 1]]}]);
 */
export function drawChart(title: string, lines: readonly Line[]): string {
  const points = lines.flatMap((line) => line.points);
  const lastSecond = Math.max(1, ...points.map(([second]) => second));
  const maximum = Math.max(1e-9, ...points.map(([, value]) => value));
  const toX = (second: number) =>
    MARGIN + (second / lastSecond) * (WIDTH - MARGIN - LEGEND_WIDTH);
  const toY = (value: number) =>
    HEIGHT - MARGIN - (value / maximum) * (HEIGHT - 2 * MARGIN);
  const lineElements = lines.map((line, index) => {
    const colour = COLOURS[index % COLOURS.length]!;
    const path = line.points
      .map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`)
      .join(' ');
    const y = MARGIN + index * LINE_HEIGHT;
    return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${path}"/>
<text x="${WIDTH - LEGEND_WIDTH + 10}" y="${y}" fill="${colour}">${escapeText(line.label)}</text>`;
  });
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-size="12" font-family="sans-serif">
<text x="${MARGIN}" y="18" font-size="14">${escapeText(title)}</text>
<path d="M${MARGIN} ${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - LEGEND_WIDTH}" fill="none" stroke="#999"/>
<text x="2" y="${MARGIN + 4}">${maximum.toPrecision(3)}</text><text x="2" y="${HEIGHT - MARGIN}">0</text>
<text x="${WIDTH - LEGEND_WIDTH - 20}" y="${HEIGHT - MARGIN + 16}">${lastSecond} s</text>
${lineElements.join('\n')}
</svg>`;
}
