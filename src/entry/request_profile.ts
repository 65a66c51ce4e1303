import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { minTransferTokens } from "../core/handover/mod.ts";
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
  /** Arrival time on the timer's clock, milliseconds. */
  readonly now: number;
  readonly availabilityZone: AvailabilityZoneId;
  readonly hash: (text: string) => string;
}

export interface ProfiledRequest {
  readonly profile: RequestProfile;
  /** Whether the pool's engines can resume a stream after given tokens. */
  readonly resumesStreams: boolean;
  /**
   * Minimum tokens for a resumed generation to transfer its cache; undefined if
   * the pool never does.
   */
  readonly fewestTokensToHandOver?: number;
}

/**
 * Characters per token for the initial estimate of admission: about four in
 * English text with the common tokenizers. The engines' own counts correct it
 * later; an error of a third shifts a predicted finish by part of the prefill
 * only.
 */
const CHARACTERS_PER_TOKEN = 4;
/** Tokens that a message's role and separators add. */
const TOKENS_PER_MESSAGE = 4;
/**
 * Length of a block of prompt text that is hashed for prefix affinity,
 * characters.
 */
const PREFIX_BLOCK_CHARACTERS = 1024;
/**
 * Maximum length of a hashed prefix, blocks. It covers shared system prompts
 * and the head of a file; hashing a whole long log would block the event loop
 * for longer than the affinity saves.
 */
const MAX_PREFIX_BLOCKS = 16;

/** Builds the profile that admission and placement use. */
export function profileRequest(
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
    resumesStreams: pool.value.engine?.resumesStreams ?? false,
    fewestTokensToHandOver: minTransferTokens(pool.value.engine),
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

/** The earlier of the work class's deadline and the caller's. */
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

/**
 * Chained block hashes: each hash covers all text before it, so equal hashes
 * mean equal prefixes.
 */
function prefixHashes(
  text: string,
  hash: (text: string) => string,
): string[] {
  const hashes: string[] = [];
  let previousHash = "";
  for (let block = 0; block < MAX_PREFIX_BLOCKS; block++) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    if (start + PREFIX_BLOCK_CHARACTERS > text.length) break;
    previousHash = hash(
      previousHash + text.slice(start, start + PREFIX_BLOCK_CHARACTERS),
    );
    hashes.push(previousHash);
  }
  return hashes;
}

function refusal(reason: Refusal["reason"], detail: string): Refusal {
  return { kind: "not_run", reason, detail };
}
