/** Results travel as `neverthrow` values; throwing is for bugs only. */
export { err, errAsync, ok, okAsync, Result, ResultAsync } from "neverthrow";
