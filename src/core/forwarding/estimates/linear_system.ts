/** Solves a small system of linear equations by Gauss-Jordan elimination. */
export function solveLinearSystem(
  matrix: readonly (readonly number[])[],
  right: readonly number[],
): number[] {
  const rows = matrix.map((row, index) => [...row, right[index]]);
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot++) {
    for (let row = 0; row < size; row++) {
      if (row === pivot) continue;
      const factor = rows[row][pivot] / rows[pivot][pivot];
      for (let column = pivot; column <= size; column++) {
        rows[row][column] -= factor * rows[pivot][column];
      }
    }
  }
  return rows.map((row, index) => row[size] / row[index]);
}
