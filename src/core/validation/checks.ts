/** Returns whether a value that was received has a type. */
export type Check<Type> = (value: unknown) => value is Type;

/** A check for each field of a type, so that none is forgotten. */
export type FieldChecks<Type> = {
  readonly [Name in keyof Type]-?: Check<Type[Name]>;
};

export function isText(value: unknown): value is string {
  return typeof value === "string";
}

/** Checks for text of a nominal type. */
export function isId<Id extends string>(value: unknown): value is Id {
  return typeof value === "string";
}

export function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** Checks for a finite number: JSON may hold one that is parsed as Infinity. */
export function isNumber<Value extends number = number>(
  value: unknown,
): value is Value {
  return Number.isFinite(value);
}

export function isPositive(value: unknown): value is number {
  return isNumber(value) && value > 0;
}

export function isInteger(value: unknown): value is number {
  return Number.isSafeInteger(value);
}

/** Checks for a number of things, or a position. */
export function isCount<Value extends number = number>(
  value: unknown,
): value is Value {
  return isInteger(value) && value >= 0;
}

export function isOneOf<const Value extends string>(
  values: readonly Value[],
): Check<Value> {
  return (value): value is Value => values.includes(value as Value);
}

export function isOptional<Type>(check: Check<Type>): Check<Type | undefined> {
  return (value): value is Type | undefined =>
    value === undefined || check(value);
}

export function isNullable<Type>(check: Check<Type>): Check<Type | null> {
  return (value): value is Type | null => value === null || check(value);
}

/**
 * Checks each value of a list. A loop, as in the checks of rows and objects: a
 * callback for each value costs more than the check, at hundreds of messages a
 * second.
 */
export function isListOf<Type>(check: Check<Type>): Check<readonly Type[]> {
  return (value): value is readonly Type[] => {
    if (!Array.isArray(value)) return false;
    for (const each of value) if (!check(each)) return false;
    return true;
  };
}

/**
 * Checks the values of a row by their positions. Further values pass: a later
 * version may have added them.
 */
export function isRow<Row extends readonly unknown[]>(
  checks: FieldChecks<Row>,
): Check<Row> {
  const all = checks as unknown as readonly Check<unknown>[];
  return (value): value is Row => {
    if (!Array.isArray(value)) return false;
    for (let at = 0; at < all.length; at += 1) {
      if (!all[at](value[at])) return false;
    }
    return true;
  };
}

/**
 * Checks the fields of an object. Unknown fields pass: a later version may have
 * added them.
 */
export function isObjectOf<Type extends object>(
  checks: FieldChecks<Type>,
): Check<Type> {
  const names = Object.keys(checks);
  const all = Object.values<Check<unknown>>(checks);
  return (value): value is Type => {
    if (!isObject(value)) return false;
    for (let at = 0; at < all.length; at += 1) {
      if (!all[at](value[names[at]])) return false;
    }
    return true;
  };
}

export function isObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
