/** One measured value at one size. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through points. */
export interface Slope {
  readonly intercept: number;
  readonly slope: number;
  /** Root of the mean square of what the line misses, as a share of the mean. */
  readonly residual: number;
}

/** One value measured at several sizes of one variable. */
export interface Series {
  readonly value: string;
  readonly variable: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** The line with the least squares. */
export function fitLine(points: readonly Point[]): Slope {
  const count = points.length;
  const meanX = sum(points.map((each) => each.x)) / count;
  const meanY = sum(points.map((each) => each.y)) / count;
  const spread = sum(points.map(({ x }) => (x - meanX) ** 2));
  const along = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = spread === 0 ? 0 : along / spread;
  const intercept = meanY - slope * meanX;
  const missed = points.map(({ x, y }) => (y - intercept - slope * x) ** 2);
  const residual = Math.sqrt(sum(missed) / count) / Math.abs(meanY || 1);
  return { intercept, slope, residual };
}

/** Prints a series with its line; gives the line with its names. */
export function reportSeries(series: Series): Record<string, unknown> {
  const { value, variable, unit, points } = series;
  const { intercept, slope, residual } = fitLine(points);
  const shown = points.map(({ x, y }) => `${x}: ${rounded(y)}`).join(", ");
  console.log(`${value} (${unit}) by ${variable}: ${shown}`);
  console.log(
    `  ${rounded(intercept)} + ${rounded(slope)} each, residual ${
      rounded(100 * residual)
    }%`,
  );
  return {
    value,
    variable,
    unit,
    intercept: rounded(intercept),
    slope: rounded(slope),
    residual: rounded(residual),
    points: points.map(({ x, y }) => [x, rounded(y)]),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function rounded(value: number): number {
  return Number(value.toPrecision(4));
}
