import { defineError } from "../../core/errors/mod.ts";

/** A problem found in a file. */
export interface FileProblem {
  readonly file: string;
  /** Path in the file, such as `callers.port`; empty for the whole file. */
  readonly path: string;
  readonly found: string;
  readonly expected: string;
}

/** A file is invalid; `problems` lists everything found in it. */
export const FILE_INVALID = defineError<
  { file: string; problems: readonly FileProblem[] }
>()({
  name: "file_invalid",
  title: "File is invalid",
  message: ({ file, problems }) =>
    `Cannot use "${file}": ${problems.length} ${
      problems.length === 1 ? "problem" : "problems"
    }`,
  hint: "Fix the listed problems and check the file with `filbertshore check`",
});

/** Formats a problem as one line for operators. */
export function formatProblem(problem: FileProblem): string {
  const place = problem.path === ""
    ? problem.file
    : `${problem.file}: ${problem.path}`;
  return `${place}: found ${problem.found}, expected ${problem.expected}`;
}
