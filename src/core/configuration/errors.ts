import { defineError } from "../errors/mod.ts";
import type { Failure } from "../errors/mod.ts";

/**
 * `publication_rejected`: it is not in force and never will be.
 * `publication_not_made`: it is not on the log and never will be.
 * `publication_unknown`: it may still come into force; query its outcome by its
 * id.
 */
export type PublicationFailure = Failure<
  "publication_rejected" | "publication_not_made" | "publication_unknown"
>;

export const PUBLICATION_REJECTED = defineError<
  { publicationId: string; reasons: readonly string[] }
>()({
  name: "publication_rejected",
  title: "Publication rejected",
  message: ({ publicationId, reasons }) =>
    `Publication "${publicationId}" was rejected: ${reasons.join("; ")}`,
  hint: "Apply the change to the version in force and publish it again.",
});

export const PUBLICATION_NOT_MADE = defineError<
  { publicationId: string; reason: string }
>()({
  name: "publication_not_made",
  title: "Publication not made",
  message: ({ publicationId, reason }) =>
    `Publication "${publicationId}" was not appended: ${reason}`,
  hint: "Nothing was changed; publish again when the log service is reachable.",
});

export const PUBLICATION_UNKNOWN = defineError<
  { publicationId: string; reason: string }
>()({
  name: "publication_unknown",
  title: "Publication outcome unknown",
  message: ({ publicationId, reason }) =>
    `Outcome of publication "${publicationId}" is not known yet: ${reason}`,
  hint: "Run the command again with the same publication id.",
});
