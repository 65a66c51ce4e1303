import type { ServerResponse } from "node:http";
import type {
  Outcome,
  Refusal,
  RefusalReason,
  UnknownOutcome,
} from "../../core/requests/mod.ts";
import { sendWhole } from "./whole_response.ts";

/** A problem detail (RFC 9457) as sent to callers. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /**
   * Whether the request may have run; callers decide on retries by this field.
   */
  readonly outcome: "not_run" | "unknown";
  readonly retryAfterMilliseconds?: number;
}

interface ProblemTemplate {
  readonly status: number;
  readonly title: string;
}

const REFUSAL_PROBLEMS: Readonly<Record<RefusalReason, ProblemTemplate>> = {
  invalid: { status: 400, title: "Request is not valid" },
  unknown_model: { status: 404, title: "Model is not served" },
  unknown_route: { status: 404, title: "Route is not served" },
  impossible_deadline: { status: 422, title: "Deadline can't be met" },
  saturated: { status: 503, title: "All endpoints are busy" },
  share_exhausted: { status: 429, title: "Share of capacity is used up" },
  no_endpoint: { status: 503, title: "No endpoint in service" },
  overloaded_entry: { status: 503, title: "Entry is overloaded" },
  draining: { status: 503, title: "Entry is shutting down" },
  not_configured: { status: 503, title: "No configuration in force yet" },
  log_down: { status: 503, title: "Log service can't be reached" },
  key_expired: { status: 422, title: "Idempotency key is too old" },
  key_conflict: {
    status: 422,
    title: "Idempotency key belongs to another request",
  },
  key_needed: { status: 400, title: "Idempotency key is not usable" },
  late: { status: 503, title: "Answer would be late" },
};
const UNKNOWN_OUTCOME_PROBLEM: ProblemTemplate = {
  status: 502,
  title: "Outcome is not known",
};
const TYPE_PREFIX = "urn:filbertshore:problem:";

/** Creates the problem detail for a refused request or an unknown outcome. */
export function createProblem(outcome: Refusal | UnknownOutcome): Problem {
  const isRefusal = outcome.kind === "not_run";
  const template = isRefusal
    ? REFUSAL_PROBLEMS[outcome.reason]
    : UNKNOWN_OUTCOME_PROBLEM;
  return {
    type: TYPE_PREFIX + (isRefusal ? outcome.reason : "unknown_outcome"),
    title: template.title,
    status: template.status,
    detail: outcome.detail,
    outcome: outcome.kind,
    retryAfterMilliseconds: outcome.retryAfterMilliseconds,
  };
}

/** Sends a refusal or an unknown outcome as the complete response. */
export function sendProblem(
  response: ServerResponse,
  outcome: Exclude<Outcome, { kind: "answered" }>,
): void {
  const problem = createProblem(outcome);
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
  };
  if (outcome.retryAfterMilliseconds !== undefined) {
    const seconds = Math.ceil(outcome.retryAfterMilliseconds / 1000);
    headers["retry-after"] = String(Math.max(1, seconds));
  }
  const body = JSON.stringify(problem);
  sendWhole(response, { status: problem.status, headers, body });
}

/** Creates the refusal of a malformed request. */
export function invalidRequest(detail: string): Refusal {
  return { kind: "not_run", reason: "invalid", detail };
}
