import { createHash } from "node:crypto";
import type { ForwardedRequest } from "../../core/forwarding/mod.ts";
import {
  identifier,
  type PartDigest,
  type RequestDigest,
  type RequestId,
  type ServiceName,
  type StreamDigest,
  type WorkspaceId,
} from "../../core/identity/mod.ts";

const DIGEST_BYTES = 12;
/** Short, as the fleet keeps and sends one for each resumable stream. */
const STREAM_DIGEST_BYTES = 9;
/** Short, as a crash is reported with all parts that were in flight. */
const PART_DIGEST_BYTES = 9;

/**
 * Returns the digest of everything that determines what an endpoint executes:
 * method, host, target, credentials and body. Request ids and deadlines are
 * left out because they differ between retries, and the caller's address
 * because it is not sent to endpoints.
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

/** Returns the digest that identifies a stream by the attempt that began it. */
export function streamDigestOf(
  attempt: RequestId,
  workspace: WorkspaceId | undefined,
): StreamDigest {
  const digest = createHash("sha256")
    .update(JSON.stringify([workspace ?? null, attempt]))
    .digest().subarray(0, STREAM_DIGEST_BYTES);
  return identifier<StreamDigest>(digest.toString("base64url"));
}

/** Returns the digest of a part of prompts for the endpoints of a pool. */
export function partDigestOf(pool: ServiceName, part: string): PartDigest {
  const digest = createHash("sha256").update(JSON.stringify([pool, part]))
    .digest().subarray(0, PART_DIGEST_BYTES);
  return identifier<PartDigest>(digest.toString("base64url"));
}

/** Identifies the caller by its API key or else by its identity headers. */
function credentialsOf(
  { credentials, identityHeaders }: ForwardedRequest,
): string {
  if (credentials.kind === "key") return credentials.digest;
  return identityHeaders.join("\n");
}
