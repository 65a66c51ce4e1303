import process from "node:process";
import { type FileFailure, formatProblem } from "../adapters/settings/mod.ts";

/** Settles when the platform or an operator asks the process to stop. */
export function waitForTermination(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}

/** Prints every problem of a settings file. */
export function reportInvalidSettings(error: FileFailure): void {
  const lines = [
    error.message,
    ...error.problems.map((problem) => formatProblem(problem)),
    error.hint,
  ];
  process.stderr.write(`${lines.join("\n")}\n`);
}
