/** Results are `neverthrow` values; exceptions are for bugs only. */
export { err, errAsync, ok, okAsync, Result, ResultAsync } from "neverthrow";
