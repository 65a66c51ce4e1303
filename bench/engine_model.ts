/**
 * Model of one engine for measurements and outcome tests: a batch with prefill
 * and decode costs, slots, KV memory, a prefix cache, priorities and seconds
 * out of service for a role change. Work flows at constant rates between two
 * events, so a run costs a few events for each request and none for a token.
 */
import { Heap } from "../src/core/queueing/mod.ts";
import type { Role } from "../src/core/roles/mod.ts";
import type { Subscription, TimerService } from "../src/core/time/mod.ts";
import type { EngineCharacteristics } from "../src/generated/inventory.ts";

/**
 * Time between tokens with one stream, as a share of that with a full batch.
 * Decoding reads all weights once a step whatever the batch, and the KV cache
 * of each stream on top. Assumed; published batch sweeps of 7 to 70 billion
 * parameter models lie between a half and three quarters.
 */
export const SINGLE_STREAM_SHARE = 0.6;

/** What a role does to the engine. Assumed, see docs/DECISIONS.md. */
export const ENGINE_ROLES: Readonly<
  Record<Role, {
    prefillShare: number;
    slotShare: number;
    /** Factor on the time between tokens while a prompt is processed. */
    interference: number;
  }>
> = {
  prefill: { prefillShare: 1, slotShare: 0.3, interference: 1.5 },
  mixed: { prefillShare: 0.55, slotShare: 0.6, interference: 1.25 },
  decode: { prefillShare: 0.15, slotShare: 1, interference: 1.05 },
};

/** Prefixes that an engine keeps; beyond it the oldest goes. */
const MOST_CACHED_PREFIXES = 16;

export interface EngineJob {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Smaller comes first. */
  readonly priority: number;
  /** Prefix that may be cached, and the share of the prompt that it is. */
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
  /** Reading of the decode clock at which the output is complete. */
  finishClock: number;
  /** Phase that a paused job goes on with. */
  pausedPhase: "waiting" | "prefill" | "decode";
}

interface Finish {
  readonly state: JobState;
  readonly clock: number;
}

export interface EngineModelOptions {
  readonly timer: TimerService;
  readonly engine: EngineCharacteristics;
  readonly role: Role;
  /** Factor on all rates of this one engine; 0.25 is four times slower. */
  readonly speed?: number;
}

export class EngineModel {
  readonly #timer: TimerService;
  readonly #engine: EngineCharacteristics;
  speed: number;
  #role: Role;
  #outUntil = 0;
  #order = 0;
  #last = 0;
  #decodeClock = 0;
  #decoding = 0;
  #active = 0;
  #memoryUsed = 0;
  #alarm: Subscription | undefined;
  readonly #waiting: JobState[] = [];
  readonly #prefilling: JobState[] = [];
  readonly #finishes = new Heap<Finish>((one, other) =>
    one.clock < other.clock
  );
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
    const share = ENGINE_ROLES[this.#role].slotShare;
    return Math.max(1, Math.round(this.#engine.slots * share));
  }

  get active(): number {
    return this.#active + this.#waiting.length;
  }

  /** Present state, for measurements. */
  stats() {
    return {
      decoding: this.#decoding,
      prefilling: this.#prefilling.length,
      waiting: this.#waiting.length,
      memory: this.#memoryUsed,
    };
  }

  get outOfService(): boolean {
    return this.#timer.now() < this.#outUntil;
  }

  /** The batch takes one more prompt at a time, while a slot is left for it. */
  get #prefills(): boolean {
    return this.#prefilling.length > 0 && this.#decoding < this.slots;
  }

  /** Present time between two tokens of a stream, milliseconds. */
  get millisecondsBetweenTokens(): number {
    const filled = this.#decoding / this.#engine.slots;
    const batch = SINGLE_STREAM_SHARE + (1 - SINGLE_STREAM_SHARE) * filled;
    const interference = this.#prefills
      ? ENGINE_ROLES[this.#role].interference
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

  /** Drained by its side before; out of service for the change. */
  changeRole(role: Role, onDone: () => void): void {
    this.#role = role;
    this.#cachedPrefixes.clear();
    const milliseconds = this.#engine.roleChangeSeconds * 1_000;
    this.#outUntil = this.#timer.now() + milliseconds;
    this.#timer.after(milliseconds, onDone);
  }

  start(job: EngineJob): RunningJob {
    this.#advance();
    const state: JobState = {
      job,
      order: this.#order++,
      memoryTokens: job.promptTokens + job.outputTokens,
      phase: "waiting",
      promptLeft: this.#uncached(job),
      outputLeft: job.outputTokens,
      finishClock: 0,
      pausedPhase: "waiting",
    };
    insert(this.#waiting, state);
    this.#letIn();
    this.#reschedule();
    return {
      cancel: () => this.#cancel(state),
      pause: () => this.#pause(state),
      resume: () => this.#resume(state),
    };
  }

  #uncached(job: EngineJob): number {
    if (job.prefix === undefined) return job.promptTokens;
    const { hash, share } = job.prefix;
    const hit = this.#cachedPrefixes.delete(hash);
    this.#cachedPrefixes.set(hash, true);
    if (this.#cachedPrefixes.size > MOST_CACHED_PREFIXES) {
      const oldest = this.#cachedPrefixes.keys().next().value as string;
      this.#cachedPrefixes.delete(oldest);
    }
    return hit ? job.promptTokens * (1 - share) : job.promptTokens;
  }

  #prefillPerMillisecond(): number {
    return this.#engine.prefillTokensPerSecond / 1_000 * this.speed *
      ENGINE_ROLES[this.#role].prefillShare;
  }

  /** Carries the flows on to the present. */
  #advance(): void {
    const now = this.#timer.now();
    const elapsed = now - this.#last;
    if (elapsed <= 0) return;
    this.#last = now;
    this.#decodeClock += elapsed / this.millisecondsBetweenTokens;
    if (this.#prefills) {
      const [first] = this.#prefilling;
      first.promptLeft -= elapsed * this.#prefillPerMillisecond();
    }
  }

  #letIn(): void {
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
    this.#alarm?.cancel();
    this.#alarm = undefined;
    this.#dropStaleFinishes();
    const [first] = this.#prefilling;
    const finish = this.#finishes.peek();
    let delay = Infinity;
    if (this.#prefills) {
      delay = Math.max(0, first.promptLeft) / this.#prefillPerMillisecond();
    }
    if (finish !== undefined) {
      const tokens = Math.max(0, finish.clock - this.#decodeClock);
      delay = Math.min(delay, tokens * this.millisecondsBetweenTokens);
    }
    if (delay === Infinity) return;
    this.#alarm = this.#timer.after(delay + 1e-6, () => this.#step());
  }

  #step(): void {
    this.#advance();
    const first = this.#prefilling[0];
    if (this.#prefills && first.promptLeft <= 1e-3) {
      this.#prefilling.shift();
      this.#startDecode(first);
      first.job.onFirstToken();
    }
    this.#dropStaleFinishes();
    const finish = this.#finishes.peek();
    if (finish !== undefined && finish.clock <= this.#decodeClock + 1e-6) {
      this.#finishes.pop();
      this.#leave(finish.state);
      finish.state.job.onEnd();
    }
    this.#letIn();
    this.#reschedule();
  }

  #startDecode(state: JobState): void {
    state.phase = "decode";
    state.finishClock = this.#decodeClock + state.outputLeft;
    this.#decoding += 1;
    this.#finishes.push({ state, clock: state.finishClock });
  }

  #leave(state: JobState): void {
    const paused = state.phase === "paused";
    if (state.phase === "decode") this.#decoding -= 1;
    if (!paused) this.#active -= 1;
    if (!paused || state.pausedPhase !== "waiting") {
      this.#memoryUsed -= state.memoryTokens;
    }
    state.phase = "done";
  }

  #dropStaleFinishes(): void {
    for (;;) {
      const finish = this.#finishes.peek();
      if (finish === undefined) return;
      const { phase, finishClock } = finish.state;
      if (phase === "decode" && finishClock === finish.clock) return;
      this.#finishes.pop();
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
      this.#leave(state);
    }
    this.#letIn();
    this.#reschedule();
  }

  /** What stands still keeps its memory and frees its place. */
  #pause(state: JobState): void {
    if (state.phase === "done" || state.phase === "paused") return;
    this.#advance();
    state.pausedPhase = state.phase;
    if (state.phase === "decode") {
      state.outputLeft = Math.max(0, state.finishClock - this.#decodeClock);
      this.#decoding -= 1;
    }
    if (state.phase === "prefill") remove(this.#prefilling, state);
    if (state.phase === "waiting") remove(this.#waiting, state);
    else this.#active -= 1;
    state.phase = "paused";
    this.#letIn();
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
    this.#letIn();
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
