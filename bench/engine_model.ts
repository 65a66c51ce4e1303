/**
 * Model of one engine for benches and outcome tests: a batch with prefill and
 * decode costs, slots, KV cache memory, a prefix cache, priorities and downtime
 * for role changes. Work progresses at constant rates between two events, so
 * the simulation needs a few events per request and none per token.
 */
import { Heap } from "../src/core/queueing/mod.ts";
import type { Role } from "../src/core/roles/mod.ts";
import type { Subscription, TimerService } from "../src/core/time/mod.ts";
import type { EngineCharacteristics } from "../src/generated/inventory.ts";

/**
 * Time between tokens with one stream, as a fraction of that with a full batch.
 * Each decoding step reads all weights regardless of batch size, plus the KV
 * cache of every stream. Published batch sweeps of models with 7 to 70 billion
 * parameters give values from 0.5 to 0.75.
 */
export const SINGLE_STREAM_SHARE = 0.6;

/** Capacity of an engine in each role; see docs/DECISIONS.md. */
export const ENGINE_ROLE_PROFILES: Readonly<
  Record<Role, {
    prefillShare: number;
    slotShare: number;
    /** Factor on the time between tokens during prefill. */
    interference: number;
  }>
> = {
  prefill: { prefillShare: 1, slotShare: 0.3, interference: 1.5 },
  mixed: { prefillShare: 0.55, slotShare: 0.6, interference: 1.25 },
  decode: { prefillShare: 0.15, slotShare: 1, interference: 1.05 },
};

/** Size of the engine's prefix cache, which evicts the least recently used. */
const MAX_CACHED_PREFIXES = 16;

export interface EngineJob {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Smaller values run first. */
  readonly priority: number;
  /** Prefix that may be cached, and its fraction of the prompt. */
  readonly prefix?: { readonly hash: string; readonly share: number };
  readonly onFirstToken: () => void;
  readonly onEnd: () => void;
}

export interface RunningJob {
  cancel(): void;
  pause(): void;
  resume(): void;
}

interface JobState {
  readonly job: EngineJob;
  readonly order: number;
  readonly memoryTokens: number;
  phase: "waiting" | "prefill" | "decode" | "paused" | "done";
  promptLeft: number;
  outputLeft: number;
  /** Value of the decode clock, in tokens, at which the output is complete. */
  completionClock: number;
  /** Phase in which a paused job resumes. */
  pausedPhase: "waiting" | "prefill" | "decode";
}

interface Completion {
  readonly state: JobState;
  readonly clock: number;
}

export interface EngineModelOptions {
  readonly timer: TimerService;
  readonly engine: EngineCharacteristics;
  readonly role: Role;
  /** Factor on all rates of this engine; 0.25 is four times slower. */
  readonly speed?: number;
}

export class EngineModel {
  readonly #timer: TimerService;
  readonly #engine: EngineCharacteristics;
  speed: number;
  #role: Role;
  #unavailableUntil = 0;
  #nextOrder = 0;
  #lastAdvanceAt = 0;
  #decodeClock = 0;
  #decoding = 0;
  #active = 0;
  #memoryUsed = 0;
  #nextEventTimer: Subscription | undefined;
  readonly #waiting: JobState[] = [];
  readonly #prefilling: JobState[] = [];
  readonly #completions = new Heap<Completion>((a, b) => a.clock < b.clock);
  readonly #cachedPrefixes = new Map<string, true>();

  constructor(options: EngineModelOptions) {
    this.#timer = options.timer;
    this.#engine = options.engine;
    this.#role = options.role;
    this.speed = options.speed ?? 1;
  }

  get role(): Role {
    return this.#role;
  }

  get slots(): number {
    const share = ENGINE_ROLE_PROFILES[this.#role].slotShare;
    return Math.max(1, Math.round(this.#engine.slots * share));
  }

  get active(): number {
    return this.#active + this.#waiting.length;
  }

  /** Current state, for measurements. */
  stats() {
    return {
      decoding: this.#decoding,
      prefilling: this.#prefilling.length,
      waiting: this.#waiting.length,
      memory: this.#memoryUsed,
    };
  }

  get outOfService(): boolean {
    return this.#timer.now() < this.#unavailableUntil;
  }

  /** Whether a prompt is in prefill, which needs a free slot in the batch. */
  get #isPrefilling(): boolean {
    return this.#prefilling.length > 0 && this.#decoding < this.slots;
  }

  /** Current time between two tokens of a stream. */
  get millisecondsBetweenTokens(): number {
    const filled = this.#decoding / this.#engine.slots;
    const batch = SINGLE_STREAM_SHARE + (1 - SINGLE_STREAM_SHARE) * filled;
    const interference = this.#isPrefilling
      ? ENGINE_ROLE_PROFILES[this.#role].interference
      : 1;
    return this.#engine.millisecondsBetweenTokens * batch * interference /
      this.speed;
  }

  get prefillBacklogTokens(): number {
    this.#advance();
    let tokens = 0;
    for (const state of this.#prefilling) tokens += state.promptLeft;
    for (const state of this.#waiting) tokens += state.promptLeft;
    return tokens;
  }

  /** Changes the role of a drained engine, which causes downtime. */
  changeRole(role: Role, onDone: () => void): void {
    this.#role = role;
    this.#cachedPrefixes.clear();
    const milliseconds = this.#engine.roleChangeSeconds * 1_000;
    this.#unavailableUntil = this.#timer.now() + milliseconds;
    this.#timer.after(milliseconds, onDone);
  }

  start(job: EngineJob): RunningJob {
    this.#advance();
    const state: JobState = {
      job,
      order: this.#nextOrder++,
      memoryTokens: job.promptTokens + job.outputTokens,
      phase: "waiting",
      promptLeft: this.#uncachedPromptTokens(job),
      outputLeft: job.outputTokens,
      completionClock: 0,
      pausedPhase: "waiting",
    };
    insert(this.#waiting, state);
    this.#admitWaiting();
    this.#reschedule();
    return {
      cancel: () => this.#cancel(state),
      pause: () => this.#pause(state),
      resume: () => this.#resume(state),
    };
  }

  #uncachedPromptTokens(job: EngineJob): number {
    if (job.prefix === undefined) return job.promptTokens;
    const { hash, share } = job.prefix;
    const cached = this.#cachedPrefixes.delete(hash);
    this.#cachedPrefixes.set(hash, true);
    if (this.#cachedPrefixes.size > MAX_CACHED_PREFIXES) {
      const oldest = this.#cachedPrefixes.keys().next().value as string;
      this.#cachedPrefixes.delete(oldest);
    }
    return cached ? job.promptTokens * (1 - share) : job.promptTokens;
  }

  #prefillPerMillisecond(): number {
    return this.#engine.prefillTokensPerSecond / 1_000 * this.speed *
      ENGINE_ROLE_PROFILES[this.#role].prefillShare;
  }

  /** Advances decoding and prefill to the current time. */
  #advance(): void {
    const now = this.#timer.now();
    const elapsed = now - this.#lastAdvanceAt;
    if (elapsed <= 0) return;
    this.#lastAdvanceAt = now;
    this.#decodeClock += elapsed / this.millisecondsBetweenTokens;
    if (this.#isPrefilling) {
      const [first] = this.#prefilling;
      first.promptLeft -= elapsed * this.#prefillPerMillisecond();
    }
  }

  #admitWaiting(): void {
    while (this.#waiting.length > 0) {
      const state = this.#waiting[0];
      const needed = this.#memoryUsed + state.memoryTokens;
      if (needed > this.#engine.keyValueCacheTokens && this.#active > 0) return;
      this.#waiting.shift();
      this.#active += 1;
      this.#memoryUsed += state.memoryTokens;
      state.phase = "prefill";
      insert(this.#prefilling, state);
    }
  }

  #reschedule(): void {
    this.#nextEventTimer?.cancel();
    this.#nextEventTimer = undefined;
    this.#dropStaleCompletions();
    const [first] = this.#prefilling;
    const completion = this.#completions.peek();
    let delay = Infinity;
    if (this.#isPrefilling) {
      delay = Math.max(0, first.promptLeft) / this.#prefillPerMillisecond();
    }
    if (completion !== undefined) {
      const tokens = Math.max(0, completion.clock - this.#decodeClock);
      delay = Math.min(delay, tokens * this.millisecondsBetweenTokens);
    }
    if (delay === Infinity) return;
    this.#nextEventTimer = this.#timer.after(
      delay + 1e-6,
      () => this.#onTimer(),
    );
  }

  #onTimer(): void {
    this.#advance();
    const first = this.#prefilling[0];
    if (this.#isPrefilling && first.promptLeft <= 1e-3) {
      this.#prefilling.shift();
      this.#startDecode(first);
      first.job.onFirstToken();
    }
    this.#dropStaleCompletions();
    const completion = this.#completions.peek();
    if (
      completion !== undefined && completion.clock <= this.#decodeClock + 1e-6
    ) {
      this.#completions.pop();
      this.#removeJob(completion.state);
      completion.state.job.onEnd();
    }
    this.#admitWaiting();
    this.#reschedule();
  }

  #startDecode(state: JobState): void {
    state.phase = "decode";
    state.completionClock = this.#decodeClock + state.outputLeft;
    this.#decoding += 1;
    this.#completions.push({ state, clock: state.completionClock });
  }

  #removeJob(state: JobState): void {
    const paused = state.phase === "paused";
    if (state.phase === "decode") this.#decoding -= 1;
    if (!paused) this.#active -= 1;
    if (!paused || state.pausedPhase !== "waiting") {
      this.#memoryUsed -= state.memoryTokens;
    }
    state.phase = "done";
  }

  #dropStaleCompletions(): void {
    for (;;) {
      const completion = this.#completions.peek();
      if (completion === undefined) return;
      const { phase, completionClock } = completion.state;
      if (phase === "decode" && completionClock === completion.clock) return;
      this.#completions.pop();
    }
  }

  #cancel(state: JobState): void {
    if (state.phase === "done") return;
    this.#advance();
    if (state.phase === "waiting") {
      remove(this.#waiting, state);
      state.phase = "done";
    } else {
      if (state.phase === "prefill") remove(this.#prefilling, state);
      this.#removeJob(state);
    }
    this.#admitWaiting();
    this.#reschedule();
  }

  /** A paused job keeps its memory but frees its slot. */
  #pause(state: JobState): void {
    if (state.phase === "done" || state.phase === "paused") return;
    this.#advance();
    state.pausedPhase = state.phase;
    if (state.phase === "decode") {
      state.outputLeft = Math.max(0, state.completionClock - this.#decodeClock);
      this.#decoding -= 1;
    }
    if (state.phase === "prefill") remove(this.#prefilling, state);
    if (state.phase === "waiting") remove(this.#waiting, state);
    else this.#active -= 1;
    state.phase = "paused";
    this.#admitWaiting();
    this.#reschedule();
  }

  #resume(state: JobState): void {
    if (state.phase !== "paused") return;
    this.#advance();
    state.phase = state.pausedPhase;
    if (state.pausedPhase === "waiting") insert(this.#waiting, state);
    else this.#active += 1;
    if (state.pausedPhase === "prefill") insert(this.#prefilling, state);
    if (state.pausedPhase === "decode") this.#startDecode(state);
    this.#admitWaiting();
    this.#reschedule();
  }
}

function insert(list: JobState[], state: JobState): void {
  let index = list.length;
  while (index > 0 && list[index - 1].job.priority > state.job.priority) {
    index -= 1;
  }
  list.splice(index, 0, state);
}

function remove(list: JobState[], state: JobState): void {
  const index = list.indexOf(state);
  if (index !== -1) list.splice(index, 1);
}
