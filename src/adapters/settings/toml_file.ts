/** Reads TOML files and validates them against their schema. */
import { readFileSync } from "node:fs";
import { parse, TomlError } from "smol-toml";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import type { Validator } from "../../generated/validators.js";
import { FILE_INVALID, type FileProblem } from "./errors.ts";
import { describeProblems, type SchemaDocument } from "./problems.ts";

/** A file is invalid; `problems` lists everything found in it. */
export interface FileFailure extends Failure<"file_invalid"> {
  readonly problems: readonly FileProblem[];
}

/** The schema of a file and its compiled validator. */
export interface FileSchema {
  readonly validator: Validator;
  readonly document: SchemaDocument;
  readonly definition?: string;
}

/** Reads and validates a TOML file; fails with all problems found. */
export function readTomlFile(
  file: string,
  schema: FileSchema,
): Result<unknown, FileFailure> {
  return parseTomlFile(file).andThen((value) => {
    if (schema.validator(value)) return ok(value);
    const errors = schema.validator.errors ?? [];
    const { document, definition } = schema;
    return err(fileFailure(
      file,
      describeProblems(errors, { file, value, document, definition }),
    ));
  });
}

/** Creates the failure for a file with these problems. */
export function fileFailure(
  file: string,
  problems: readonly FileProblem[],
): FileFailure {
  return { ...failure(FILE_INVALID, { file, problems }), problems };
}

function parseTomlFile(file: string): Result<unknown, FileFailure> {
  let text;
  try {
    text = readFileSync(file, "utf8");
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? String(cause);
    return err(fileFailure(file, [
      { file, path: "", found: code, expected: "a file that can be read" },
    ]));
  }
  try {
    return ok(parse(text));
  } catch (cause) {
    if (!(cause instanceof TomlError)) throw cause;
    return err(fileFailure(file, [{
      file,
      path: `line ${cause.line}, column ${cause.column}`,
      found: cause.message.split("\n")[0],
      expected: "TOML",
    }]));
  }
}
