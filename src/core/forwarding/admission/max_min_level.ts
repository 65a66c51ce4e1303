/**
 * Water level of max-min fairness: the amount at which the capacity is used up
 * if everyone gets what it asks for, but no more than the level. Infinite if
 * the capacity covers everything. Units are those of the arguments.
 */
export function maxMinLevel(
  asked: readonly number[],
  capacity: number,
): number {
  const ascending = Float64Array.from(asked).sort();
  let remaining = Math.max(0, capacity);
  for (const [index, amount] of ascending.entries()) {
    const equalShare = remaining / (ascending.length - index);
    if (amount > equalShare) return equalShare;
    remaining -= amount;
  }
  return Infinity;
}
