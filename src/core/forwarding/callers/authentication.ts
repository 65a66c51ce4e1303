import { err, ok, type Result } from "neverthrow";
import type { KeyDigest } from "../../identity/mod.ts";
import type { KeyDirectory, Workspace } from "./key_directory.ts";

/**
 * Credentials of a request. `unusable`: the request has several keys, or a key
 * that cannot be parsed.
 */
export type Credentials =
  | { readonly kind: "none" }
  | { readonly kind: "unusable" }
  | { readonly kind: "key"; readonly digest: KeyDigest };

/** Why authentication failed. */
export type AuthenticationFailure = "no_key" | "unusable_key" | "unknown_key";

export interface AuthenticateOptions {
  readonly credentials: Credentials;
  /** True if the route admits everyone, with or without a key. */
  readonly isPublic: boolean;
}

/**
 * Returns the caller's workspace; undefined for any caller on a public route.
 */
export function authenticate(
  directory: KeyDirectory,
  { credentials, isPublic }: AuthenticateOptions,
): Result<Workspace | undefined, AuthenticationFailure> {
  if (isPublic) return ok(undefined);
  if (credentials.kind === "none") return err("no_key");
  if (credentials.kind === "unusable") return err("unusable_key");
  const workspace = directory.find(credentials.digest);
  return workspace === undefined ? err("unknown_key") : ok(workspace);
}
