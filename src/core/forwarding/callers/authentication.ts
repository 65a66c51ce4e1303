import { err, ok, type Result } from "neverthrow";
import type { KeyDigest } from "../../identity/mod.ts";
import type { KeyDirectory, Workspace } from "./key_directory.ts";

/**
 * What a request says of its caller. `unusable`: it names a key in a way that
 * can't be read, or several.
 */
export type Credentials =
  | { readonly kind: "none" }
  | { readonly kind: "unusable" }
  | { readonly kind: "key"; readonly digest: KeyDigest };

/** Why a caller is not let in. */
export type AuthenticationFailure = "no_key" | "unusable_key" | "unknown_key";

export interface AuthenticationQuestion {
  readonly credentials: Credentials;
  /** True: the route is open to everyone, with or without a key. */
  readonly isPublic: boolean;
}

/** Gives the caller's workspace; undefined for everyone on a public route. */
export function authenticate(
  directory: KeyDirectory,
  { credentials, isPublic }: AuthenticationQuestion,
): Result<Workspace | undefined, AuthenticationFailure> {
  if (isPublic) return ok(undefined);
  if (credentials.kind === "none") return err("no_key");
  if (credentials.kind === "unusable") return err("unusable_key");
  const workspace = directory.find(credentials.digest);
  return workspace === undefined ? err("unknown_key") : ok(workspace);
}
