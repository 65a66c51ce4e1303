/** Maximise `objective · x` subject to `rows · x <= limits` and `x >= 0`. */
export interface LinearProgram {
  readonly objective: readonly number[];
  readonly rows: readonly (readonly number[])[];
  /** Must not be negative, so that x = 0 is a feasible start. */
  readonly limits: readonly number[];
}

export interface Optimum {
  readonly value: number;
  readonly solution: readonly number[];
}

const TOLERANCE = 1e-9;

/**
 * Maximum of the objective and its solution, by the simplex method on a dense
 * tableau. The programs here have some dozens of columns and rows; each pivot
 * costs their product. `maxPivots` ends a degenerate program early, with a
 * value that is feasible but may not be the maximum; an unbounded program ends
 * the same way.
 */
export function maximise(program: LinearProgram, maxPivots = 500): Optimum {
  const tableau = tableauOf(program);
  const basis = program.rows.map((_, row) => program.objective.length + row);
  const columns = program.objective.length + program.rows.length;
  const cost = tableau[tableau.length - 1];
  for (let pivots = 0; pivots < maxPivots; pivots++) {
    const column = enteringColumn(cost, columns);
    if (column === -1) break;
    const row = leavingRow(tableau, column, columns);
    if (row === -1) break;
    pivot(tableau, row, column);
    basis[row] = column;
  }
  const solution = program.objective.map((_, column) => {
    const row = basis.indexOf(column);
    return row === -1 ? 0 : tableau[row][columns];
  });
  return { value: cost[columns], solution };
}

function tableauOf({ objective, rows, limits }: LinearProgram): number[][] {
  const tableau = rows.map((row, index) => [
    ...row,
    ...rows.map((_, other) => (other === index ? 1 : 0)),
    limits[index],
  ]);
  tableau.push([...objective.map((value) => -value), ...rows.map(() => 0), 0]);
  return tableau;
}

function enteringColumn(cost: readonly number[], columns: number): number {
  let chosen = -1;
  let lowest = -TOLERANCE;
  for (let column = 0; column < columns; column++) {
    if (cost[column] >= lowest) continue;
    lowest = cost[column];
    chosen = column;
  }
  return chosen;
}

function leavingRow(
  tableau: readonly (readonly number[])[],
  column: number,
  last: number,
): number {
  let chosen = -1;
  let lowest = Infinity;
  for (let row = 0; row < tableau.length - 1; row++) {
    const factor = tableau[row][column];
    if (factor <= TOLERANCE) continue;
    const ratio = tableau[row][last] / factor;
    if (ratio >= lowest) continue;
    lowest = ratio;
    chosen = row;
  }
  return chosen;
}

function pivot(tableau: number[][], row: number, column: number): void {
  const pivotRow = tableau[row];
  const divisor = pivotRow[column];
  for (let index = 0; index < pivotRow.length; index++) {
    pivotRow[index] /= divisor;
  }
  for (const other of tableau) {
    if (other === pivotRow) continue;
    const factor = other[column];
    if (factor === 0) continue;
    for (let index = 0; index < other.length; index++) {
      other[index] -= factor * pivotRow[index];
    }
  }
}
