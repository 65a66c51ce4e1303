import { defineError } from "../../core/errors/mod.ts";

/** One thing that is wrong in a file. */
export interface FileProblem {
  readonly file: string;
  /** Where in the file, such as `callers.port`; empty for the whole file. */
  readonly path: string;
  readonly found: string;
  readonly expected: string;
}

/** A file can't be used; all that is wrong with it stands in `problems`. */
export const FILE_INVALID = defineError<
  { file: string; problems: readonly FileProblem[] }
>()({
  name: "file_invalid",
  title: "File cannot be used",
  message: ({ file, problems }) =>
    `Cannot use "${file}": ${problems.length} ${
      problems.length === 1 ? "problem" : "problems"
    }`,
  hint: "Mend what is listed and check the file with `filbertshore check`",
});

/** One line for an operator. */
export function formatProblem(problem: FileProblem): string {
  const place = problem.path === ""
    ? problem.file
    : `${problem.file}: ${problem.path}`;
  return `${place}: found ${problem.found}, expected ${problem.expected}`;
}
