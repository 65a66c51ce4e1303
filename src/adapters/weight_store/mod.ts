/** The platform's weight store over HTTP, within its rate. */
import PQueue from "p-queue";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { type Failure, failure } from "../../core/errors/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { WeightsAnswer } from "../../generated/platform.ts";
import { validateWeightsAnswer } from "../../generated/validators.js";
import { type HttpAnswer, HttpClient, parseJson } from "../http_client/mod.ts";
import { MODEL_UNKNOWN, WEIGHT_STORE_UNAVAILABLE } from "./errors.ts";

const TIMEOUT_MILLISECONDS = 5_000;
const MOST_RESPONSE_BYTES = 1024 * 1024;
/**
 * Wait after the store said that its rate is used up. Engines load weights
 * from the same store; asking on without a pause would take their turns.
 */
const PAUSE_MILLISECONDS = 1_000;
const MOST_TRIES = 3;
const TOO_MANY_REQUESTS = 429;

export type WeightStoreFailure = Failure<
  "weight_store_unavailable" | "model_unknown"
>;

/** Asks the store about one model at a time. */
export class HttpWeightStore {
  readonly #client: HttpClient;
  readonly #timer: TimerService;
  readonly #queue = new PQueue({ concurrency: 1 });

  constructor(url: string, options: { timer: TimerService }) {
    this.#client = new HttpClient(url, options);
    this.#timer = options.timer;
  }

  /** Versions of the model's weights that the store holds, newest last. */
  versions(
    model: string,
  ): Promise<Result<readonly string[], WeightStoreFailure>> {
    return this.#queue.add(() => this.#ask(model));
  }

  /** Closes kept connections. */
  close(): void {
    this.#client.close();
  }

  async #ask(
    model: string,
  ): Promise<Result<readonly string[], WeightStoreFailure>> {
    for (let tries = 1;; tries++) {
      const answer = await this.#client.call(
        `/models/${encodeURIComponent(model)}/versions`,
        {
          method: "GET",
          timeoutMilliseconds: TIMEOUT_MILLISECONDS,
          mostResponseBytes: MOST_RESPONSE_BYTES,
        },
      );
      if (answer.isErr()) return unavailable(model, answer.error.message);
      if (answer.value.status !== TOO_MANY_REQUESTS || tries === MOST_TRIES) {
        return readVersions(model, answer.value);
      }
      await new Promise<void>((resolve) => {
        this.#timer.after(PAUSE_MILLISECONDS, resolve);
      });
    }
  }
}

function readVersions(
  model: string,
  answer: HttpAnswer,
): Result<readonly string[], WeightStoreFailure> {
  if (answer.status === 404) return err(failure(MODEL_UNKNOWN, { model }));
  if (answer.status !== 200) {
    return unavailable(model, `status ${answer.status}`);
  }
  const value = parseJson(answer.body);
  if (!validateWeightsAnswer(value)) {
    return unavailable(model, "the answer is malformed");
  }
  return ok((value as WeightsAnswer).versions);
}

function unavailable(
  model: string,
  reason: string,
): Result<never, WeightStoreFailure> {
  return err(failure(WEIGHT_STORE_UNAVAILABLE, { model, reason }));
}
