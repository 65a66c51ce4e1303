import process from "node:process";
import { type FileFailure, formatProblem } from "../adapters/settings/mod.ts";

/** Settles on SIGTERM or SIGINT. */
export function waitForTermination(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}

/** Prints all problems of a settings file to standard error. */
export function reportInvalidSettings(error: FileFailure): void {
  const lines = [
    error.message,
    ...error.problems.map((problem) => formatProblem(problem)),
    error.hint,
  ];
  process.stderr.write(`${lines.join("\n")}\n`);
}
