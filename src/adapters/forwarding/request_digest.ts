import { createHash } from "node:crypto";
import type { ForwardedRequest } from "../../core/forwarding/mod.ts";
import { identifier, type RequestDigest } from "../../core/identity/mod.ts";

/** Length of a digest, bytes. */
const DIGEST_BYTES = 12;
/**
 * The digest of everything that decides what an endpoint runs: method, host,
 * target, credentials and body. Ids and deadlines differ with each retry, and
 * an endpoint never sees the caller's address.
 */
export function digestOf(request: ForwardedRequest): RequestDigest {
  const { body, host, method, target } = request;
  const hash = createHash("sha256");
  for (const text of [method, host, target, credentialsOf(request)]) {
    hash.update(`${text.length}:${text}`);
  }
  const digest = hash.update(body).digest().subarray(0, DIGEST_BYTES);
  return identifier<RequestDigest>(digest.toString("base64url"));
}

/** By what the caller is told from others: its key, or what it says itself. */
function credentialsOf(
  { credentials, identityHeaders }: ForwardedRequest,
): string {
  if (credentials.kind === "key") return credentials.digest;
  return identityHeaders.join("\n");
}
