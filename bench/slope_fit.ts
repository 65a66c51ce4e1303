/** One measured value at one size. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Linear fit of a series. */
export interface Slope {
  readonly intercept: number;
  readonly slope: number;
  /** Root mean square error, as a fraction of the mean. */
  readonly residual: number;
}

/** One value, measured at several sizes of one variable. */
export interface Series {
  readonly value: string;
  readonly variable: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** Fits a line by least squares. */
export function fitLine(points: readonly Point[]): Slope {
  const count = points.length;
  const meanX = sum(points.map((point) => point.x)) / count;
  const meanY = sum(points.map((point) => point.y)) / count;
  const squaredDeviations = sum(points.map(({ x }) => (x - meanX) ** 2));
  const crossDeviations = sum(
    points.map(({ x, y }) => (x - meanX) * (y - meanY)),
  );
  const slope = squaredDeviations === 0
    ? 0
    : crossDeviations / squaredDeviations;
  const intercept = meanY - slope * meanX;
  const squaredErrors = points.map(({ x, y }) =>
    (y - intercept - slope * x) ** 2
  );
  const residual = Math.sqrt(sum(squaredErrors) / count) / Math.abs(meanY || 1);
  return { intercept, slope, residual };
}

/** Prints a series with its fit; returns both as an object for JSON output. */
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
