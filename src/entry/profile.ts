import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { fewestTokensToHandOver } from "../core/handover/mod.ts";
import type { AvailabilityZoneId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type {
  CallerRequest,
  Refusal,
  RequestProfile,
} from "../core/requests/mod.ts";
import type { GenerationWork } from "../generated/messages.ts";
import type { Pool } from "../generated/inventory.ts";
import type { WorkClass } from "../generated/rules.ts";
import type { Catalog } from "./catalog.ts";

export interface ProfileOptions {
  readonly catalog: Catalog;
  readonly workClass: WorkClass;
  /** Timer time of the arrival, milliseconds. */
  readonly now: number;
  readonly availabilityZone: AvailabilityZoneId;
  readonly hash: (text: string) => string;
}

export interface ProfiledRequest {
  readonly profile: RequestProfile;
  /** Whether the pool's engines resume a stream behind given tokens. */
  readonly resumes: boolean;
  /** Tokens from which on a moved answer takes its cache along, if ever. */
  readonly fewestTokensToHandOver?: number;
}

/**
 * Characters of a token, for the estimate that admission starts from: about
 * four in English text with the common tokenizers. Engines' own counts are
 * learned from; an estimate that is a third off shifts a predicted finish by
 * a part of the prefill only.
 */
const CHARACTERS_PER_TOKEN = 4;
/** Tokens that a message's role and separators add. */
const TOKENS_PER_MESSAGE = 4;
/** Length of the text whose hash names a cached prefix, characters. */
const PREFIX_BLOCK_CHARACTERS = 1024;
/**
 * Longest prefix that is looked at, blocks. Shared system prompts and a file's
 * head fit; hashing the whole of a long log would cost the loop more time
 * than the affinity gains.
 */
const MOST_PREFIX_BLOCKS = 16;

/** What admission and placement look at of a request. */
export function profileOf(
  request: CallerRequest,
  options: ProfileOptions,
): Result<ProfiledRequest, Refusal> {
  const pool = poolOf(request, options.catalog);
  if (pool.isErr()) return err(pool.error);
  const { work } = request;
  const generation = work.kind === "generation";
  const text = generation ? promptText(work) : "";
  const deadline = deadlineOf(request, options);
  return ok({
    resumes: pool.value.engine?.resumesStreams ?? false,
    fewestTokensToHandOver: fewestTokensToHandOver(pool.value.engine),
    profile: {
      requestId: request.requestId,
      workspace: request.workspace,
      className: identifier(options.workClass.name),
      pool: pool.value.name,
      kind: work.kind,
      promptTokens: generation ? countTokens(work, text) : 0,
      mostOutputTokens: generation ? work.mostOutputTokens : 0,
      deliveredTokens: 0,
      deadline,
      prefixHashes: generation ? prefixHashes(text, options.hash) : [],
      idempotent: generation || work.idempotent,
      excluded: new Set(),
      availabilityZone: options.availabilityZone,
    },
  });
}

function poolOf(
  request: CallerRequest,
  catalog: Catalog,
): Result<Pool, Refusal> {
  const { work } = request;
  if (work.kind === "generation") {
    return catalog.poolOfModel(work.model).mapErr((error) =>
      refusal("unknown_model", error.message)
    );
  }
  return catalog.poolOfRoute(work.method, work.path).map((match) => match.pool)
    .mapErr((error) => refusal("unknown_route", error.message));
}

/** The earlier of the rules' deadline and the caller's own. */
function deadlineOf(request: CallerRequest, options: ProfileOptions): number {
  const byRules = options.workClass.deadlineSeconds * 1000;
  const byCaller = request.deadlineMilliseconds ?? Infinity;
  return options.now + Math.min(byRules, byCaller);
}

function promptText(work: GenerationWork): string {
  return work.messages.map((message) => contentText(message)).join("\n");
}

function contentText(message: Record<string, unknown>): string {
  const { content } = message;
  return typeof content === "string" ? content : JSON.stringify(content ?? "");
}

function countTokens(work: GenerationWork, text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN) +
    TOKENS_PER_MESSAGE * work.messages.length;
}

/** Each block's hash covers all before it, so equal hashes mean equal heads. */
function prefixHashes(
  text: string,
  hash: (text: string) => string,
): string[] {
  const hashes: string[] = [];
  let former = "";
  for (let block = 0; block < MOST_PREFIX_BLOCKS; block++) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    if (start + PREFIX_BLOCK_CHARACTERS > text.length) break;
    former = hash(former + text.slice(start, start + PREFIX_BLOCK_CHARACTERS));
    hashes.push(former);
  }
  return hashes;
}

function refusal(reason: Refusal["reason"], detail: string): Refusal {
  return { kind: "not_run", reason, detail };
}
