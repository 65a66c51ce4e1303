/** Stand-in for a model engine, such as a replica of triage-llm. */
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { Answer, promptText, promptTokens } from "./engine_answers.ts";
import {
  type BatchOptions,
  EngineBatch,
  type Sequence,
} from "./engine_batch.ts";
import { prefixBlocks, PrefixCache } from "./engine_cache.ts";
import {
  chunkOf,
  injectStreamFault,
  type ModelEngineFaults,
  NO_ENGINE_FAULTS,
} from "./engine_faults.ts";
import { EngineOrders, type EngineState } from "./engine_orders.ts";
import {
  readJson,
  runAsProgram,
  sendJson,
  StandInServer,
} from "./stand_in_server.ts";

export interface ModelEngineOptions extends Partial<BatchOptions> {
  readonly models?: readonly string[];
  readonly weights?: string;
  readonly role?: EngineState["role"];
  readonly keyValueCacheTokens?: number;
  readonly checksFencing?: boolean;
  readonly roleChangeMilliseconds?: number;
  readonly reportLagMilliseconds?: number;
  readonly cacheEventLagMilliseconds?: number;
}

interface CompletionRequest {
  readonly model?: string;
  readonly messages?: readonly Record<string, unknown>[];
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly resume_tokens?: readonly string[];
}

interface LoadSample {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

/**
 * A replica that batches, caches prefixes, resumes streams, cancels, and
 * carries out orders.
 */
export class ModelEngineStandIn {
  readonly faults: ModelEngineFaults = { ...NO_ENGINE_FAULTS };
  /** Counters for tests, also served by `/control`. */
  readonly counts = {
    generations: 0,
    finished: 0,
    cancelled: 0,
    cutByChange: 0,
    resumed: 0,
    tokens: 0,
  };
  readonly orders: EngineOrders;
  readonly batch: EngineBatch;
  readonly #cache: PrefixCache;
  readonly #options: ModelEngineOptions;
  readonly #samples: LoadSample[] = [];
  readonly #openResponses = new Map<Sequence, ServerResponse>();
  readonly #exported = new Map<string, readonly string[]>();
  readonly #server = new StandInServer((request, response, url) =>
    this.#handle(request, response, url)
  );
  #arrivalCount = 0;
  #sampler: NodeJS.Timeout | undefined;
  /** Called when the engine crashes; exits the process if the engine is one. */
  onCrash: () => void = () => void this.close();

  constructor(options: ModelEngineOptions = {}) {
    this.#options = options;
    this.batch = new EngineBatch({
      slots: options.slots ?? 16,
      prefillTokensPerSecond: options.prefillTokensPerSecond ?? 20_000,
      millisecondsBetweenTokens: options.millisecondsBetweenTokens ?? 5,
    });
    this.#cache = new PrefixCache({
      capacityTokens: options.keyValueCacheTokens ?? 100_000,
    });
    this.orders = new EngineOrders({
      role: options.role ?? "mixed",
      models: [...(options.models ?? ["triage-llm"])],
      weights: options.weights ?? "v1",
    }, {
      checksFencing: options.checksFencing ?? false,
      changeMilliseconds: options.roleChangeMilliseconds ?? 500,
      onChangeStart: () => this.#abortForStateChange(),
      onHalfway: () => {
        if (this.faults.crashInChange) this.onCrash();
      },
    });
  }

  listen(port?: number): Promise<number> {
    this.#sampler = setInterval(() => this.#sample(), 20);
    this.#sampler.unref();
    return this.#server.listen(port);
  }

  close(): Promise<void> {
    clearInterval(this.#sampler);
    this.batch.stop();
    this.orders.stop();
    return this.#server.close();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    switch (url.pathname) {
      case "/v1/chat/completions":
        return this.#generate(response, await readJson(request));
      case "/status":
        return sendJson(response, 200, this.#status());
      case "/orders":
        return this.orders.onRequest(response, await readJson(request));
      case "/cache_events":
        return sendJson(response, 200, {
          events: this.#cache.events({
            from: Number(url.searchParams.get("from") ?? 0),
            lagMilliseconds: this.#options.cacheEventLagMilliseconds ?? 200,
          }),
        });
      case "/kv/export":
        return this.#export(response, await readJson(request));
      case "/kv/import":
        return this.#import(response, await readJson(request));
      case "/control":
        return await this.#control(request, response);
      default:
        return sendJson(response, 404, {});
    }
  }

  #generate(response: ServerResponse, body: CompletionRequest): void {
    const { model = "", messages = [], max_tokens: maxTokens = 4096 } = body;
    if (this.faults.silent) return;
    if (this.faults.refuseStatus > 0) {
      return sendJson(response, this.faults.refuseStatus, {});
    }
    if (this.orders.changing) return sendJson(response, 503, {});
    if (!this.orders.state.models.includes(model)) {
      return sendJson(response, 404, {});
    }
    const resumed = body.resume_tokens ?? [];
    const text = promptText(messages);
    const answer = new Answer(model, text, maxTokens);
    const cachedShare = this.#cache.lookUpAndStore(text + resumed.join(""));
    const contextTokens = promptTokens(text) + resumed.length;
    this.counts.generations += 1;
    if (resumed.length > 0) this.counts.resumed += 1;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
    });
    response.flushHeaders();
    this.#startSequence(response, {
      priority: body.priority ?? 0,
      answer,
      prefillLeft: contextTokens * (1 - cachedShare),
      next: Math.min(resumed.length, answer.length),
    });
  }

  #startSequence(
    response: ServerResponse,
    parts: Pick<Sequence, "priority" | "answer" | "prefillLeft" | "next">,
  ): void {
    let emittedTokens = 0;
    const sequence: Sequence = {
      ...parts,
      arrival: this.#arrivalCount++,
      blocked: () => response.writableNeedDrain,
      onToken: (text) => {
        if (
          injectStreamFault(response, { emittedTokens, faults: this.faults })
        ) {
          return void this.#dropSequence(sequence);
        }
        emittedTokens += 1;
        this.counts.tokens += 1;
        response.write(chunkOf(text, null));
      },
      onEnd: (reason) => {
        this.#openResponses.delete(sequence);
        if (response.destroyed) return;
        this.counts.finished += 1;
        response.end(`${chunkOf("", reason)}data: [DONE]\n\n`);
      },
    };
    this.#openResponses.set(sequence, response);
    response.on("close", () => {
      if (this.batch.remove(sequence)) this.counts.cancelled += 1;
      this.#openResponses.delete(sequence);
    });
    this.batch.add(sequence);
  }

  #dropSequence(sequence: Sequence): void {
    this.batch.remove(sequence);
    this.#openResponses.delete(sequence);
  }

  /**
   * Aborts all running generations when a state change starts; draining the
   * engine beforehand is the side's task.
   */
  #abortForStateChange(): void {
    for (const [sequence, response] of [...this.#openResponses]) {
      this.counts.cutByChange += 1;
      this.#dropSequence(sequence);
      response.destroy();
    }
  }

  #sample(): void {
    this.#samples.push({
      at: performance.now(),
      running: this.batch.running.size,
      waiting: this.batch.waiting.length,
    });
    if (this.#samples.length > 500) this.#samples.shift();
  }

  /** Current state, and load as it was `reportLagMilliseconds` ago. */
  #status(): Record<string, unknown> {
    const now = performance.now();
    const lag = this.#options.reportLagMilliseconds ?? 0;
    const delayedSample = lag === 0
      ? undefined
      : this.#samples.findLast((sample) => sample.at <= now - lag);
    return {
      ...this.orders.state,
      changing: this.orders.changing,
      running: delayedSample?.running ?? this.batch.running.size,
      waiting: delayedSample?.waiting ?? this.batch.waiting.length,
      age_milliseconds: delayedSample === undefined
        ? 0
        : now - delayedSample.at,
    };
  }

  #export(response: ServerResponse, body: CompletionRequest): void {
    const text = promptText(body.messages ?? []) +
      (body.resume_tokens ?? []).join("");
    const handle = `kv-${this.#exported.size}`;
    this.#exported.set(handle, prefixBlocks(text));
    sendJson(response, 200, { handle, blocks: prefixBlocks(text) });
  }

  #import(
    response: ServerResponse,
    body: { blocks?: readonly string[] },
  ): void {
    this.#cache.store(body.blocks ?? []);
    sendJson(response, 200, {});
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { crash, slowFactor, ...faults } = request.method === "POST"
      ? await readJson(request)
      : {};
    Object.assign(this.faults, faults);
    if (typeof slowFactor === "number") this.batch.slowFactor = slowFactor;
    if (crash === true) return this.onCrash();
    sendJson(response, 200, {
      faults: this.faults,
      counts: this.counts,
      running: this.batch.running.size,
      waiting: this.batch.waiting.length,
      orders: this.orders.received,
      conflicts: this.orders.conflicts,
      state: this.orders.state,
    });
  }
}

await runAsProgram(import.meta.url, (options) => {
  const engine = new ModelEngineStandIn(options as ModelEngineOptions);
  engine.onCrash = () => process.exit(1);
  return engine;
});
