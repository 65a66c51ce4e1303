/** Checks of values that come from outside the process, by their types. */
export {
  type Check,
  type FieldChecks,
  isBoolean,
  isCount,
  isId,
  isInteger,
  isListOf,
  isNullable,
  isNumber,
  isObject,
  isObjectOf,
  isOneOf,
  isOptional,
  isPositive,
  isRow,
  isText,
} from "./checks.ts";
export { isNestedDeeper, jsonTextOf } from "./json_text.ts";
