/** HTTP client of the platform's weight store that respects its rate limit. */
import PQueue from "p-queue";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { WeightsAnswer } from "../../generated/platform.ts";
import { validateWeightsAnswer } from "../../generated/validators.js";
import {
  HttpClient,
  type HttpResponse,
  parseJson,
} from "../http_client/mod.ts";
import { MODEL_UNKNOWN, WEIGHT_STORE_UNAVAILABLE } from "./errors.ts";

const TIMEOUT_MILLISECONDS = 5_000;
const MAX_RESPONSE_BYTES = 1024 * 1024;
/**
 * Delay before a retry when the store's rate limit is exhausted. Engines load
 * weights from the same store; retrying without a delay would use up their
 * share of the rate.
 */
const RETRY_DELAY_MILLISECONDS = 1_000;
const MAX_ATTEMPTS = 3;
const TOO_MANY_REQUESTS = 429;

/** Why the versions of a model could not be read. */
export type WeightStoreFailure = Failure<
  "weight_store_unavailable" | "model_unknown"
>;

/** Queries the weight store, one model at a time. */
export class HttpWeightStore {
  readonly #client: HttpClient;
  readonly #timer: TimerService;
  readonly #queue = new PQueue({ concurrency: 1 });

  constructor(url: string, options: { timer: TimerService }) {
    this.#client = new HttpClient(url, options);
    this.#timer = options.timer;
  }

  /** Returns the versions of the model's weights in the store, newest last. */
  versions(
    model: string,
  ): Promise<Result<readonly string[], WeightStoreFailure>> {
    return this.#queue.add(() => this.#fetchVersions(model));
  }

  /** Closes all connections to the store. */
  close(): void {
    this.#client.close();
  }

  async #fetchVersions(
    model: string,
  ): Promise<Result<readonly string[], WeightStoreFailure>> {
    for (let attempt = 1;; attempt++) {
      const response = await this.#client.call(
        `/models/${encodeURIComponent(model)}/versions`,
        {
          method: "GET",
          timeoutMilliseconds: TIMEOUT_MILLISECONDS,
          mostResponseBytes: MAX_RESPONSE_BYTES,
        },
      );
      if (response.isErr()) return unavailable(model, response.error.message);
      if (
        response.value.status !== TOO_MANY_REQUESTS || attempt === MAX_ATTEMPTS
      ) {
        return parseVersions(model, response.value);
      }
      await new Promise<void>((resolve) => {
        this.#timer.after(RETRY_DELAY_MILLISECONDS, resolve);
      });
    }
  }
}

function parseVersions(
  model: string,
  response: HttpResponse,
): Result<readonly string[], WeightStoreFailure> {
  if (response.status === 404) return err(failure(MODEL_UNKNOWN, { model }));
  if (response.status !== 200) {
    return unavailable(model, `status ${response.status}`);
  }
  const value = parseJson(response.body);
  if (!validateWeightsAnswer(value)) {
    return unavailable(model, "malformed response");
  }
  return ok((value as WeightsAnswer).versions);
}

function unavailable(
  model: string,
  reason: string,
): Result<never, WeightStoreFailure> {
  return err(failure(WEIGHT_STORE_UNAVAILABLE, { model, reason }));
}
