/**
 * Definition of an error: what happened and what the operator can do about it.
 * `Values` are the values in the message.
 */
export interface ErrorDefinition<Name extends string, Values> {
  readonly name: Name;
  readonly title: string;
  readonly message: (values: Values) => string;
  readonly hint: string;
}

/** A failure as a value; every failure in the system has this type. */
export interface Failure<Name extends string = string> {
  readonly name: Name;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
}

/** Defines an error; keeps the name as a literal type. */
export function defineError<Values>() {
  return <Name extends string>(
    definition: ErrorDefinition<Name, Values>,
  ): ErrorDefinition<Name, Values> => definition;
}

/** Creates a failure from its definition. */
export function failure<Name extends string, Values>(
  definition: ErrorDefinition<Name, Values>,
  values: Values,
): Failure<Name> {
  return {
    name: definition.name,
    title: definition.title,
    message: definition.message(values),
    hint: definition.hint,
  };
}

/** Text of what was thrown, for a log line: with its stack if it has one. */
export function stackOf(cause: unknown): string {
  return cause instanceof Error ? cause.stack ?? cause.message : String(cause);
}
