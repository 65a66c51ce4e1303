import {
  type AttemptRequest,
  type EndpointLink,
  type EngineObservation,
  type EngineTarget,
  type GenerationCall,
  ok,
  type Subscription,
  type TimerService,
} from "filbertshore";

export interface MemoryEngineOptions {
  readonly timer: TimerService;
  readonly models: readonly string[];
  /** Time to first token. */
  readonly prefillMilliseconds: number;
  readonly millisecondsBetweenTokens: number;
  /** Tokens of an answer, unless the request asks for fewer. */
  readonly tokens: number;
}

/** In-memory model engine that generates the tokens `w0`, `w1` and so on. */
export class MemoryEngine implements EndpointLink {
  readonly #options: MemoryEngineOptions;
  /** Number of generations started. */
  generations = 0;
  /** Bodies of the calls to a plain service. */
  readonly calls: string[] = [];
  #role: EngineObservation["role"] = "mixed";
  #running = 0;

  constructor(options: MemoryEngineOptions) {
    this.#options = options;
  }

  generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    this.generations += 1;
    this.#running += 1;
    const { work, deliveredTokens } = attempt;
    const maxTokens = work.kind === "generation" ? work.mostOutputTokens : 0;
    const total = Math.min(maxTokens, this.#options.tokens);
    let index = deliveredTokens?.length ?? 0;
    let paused = false;
    let pending: Subscription;
    const finished = new Promise<Awaited<GenerationCall["finished"]>>(
      (resolve) => {
        const step = () => {
          if (!paused && index < total) onToken(`w${index++} `);
          if (index < total) return scheduleNext(step);
          this.#running -= 1;
          resolve(ok("stop"));
        };
        const scheduleNext = (then: () => void) => {
          const { timer, millisecondsBetweenTokens } = this.#options;
          pending = timer.after(millisecondsBetweenTokens, then);
        };
        pending = this.#options.timer.after(
          this.#options.prefillMilliseconds,
          step,
        );
      },
    );
    return {
      finished,
      cancel: () => {
        pending.cancel();
        this.#running -= 1;
      },
      pause: () => paused = true,
      resume: () => paused = false,
    };
  }

  call(attempt: AttemptRequest) {
    const { work } = attempt;
    const body = work.kind === "service" ? work.body : "";
    this.calls.push(body);
    const answer = `{"number":${this.calls.length}}`;
    return Promise.resolve(ok({
      status: 200,
      contentType: "application/json",
      body: answer,
    }));
  }

  observe() {
    return Promise.resolve(ok({
      role: this.#role,
      models: this.#options.models,
      weights: "",
      changing: false,
      running: this.#running,
      waiting: 0,
      ageMilliseconds: 0,
    }));
  }

  order(target: EngineTarget) {
    this.#role = target.role;
    return Promise.resolve(ok());
  }
}
