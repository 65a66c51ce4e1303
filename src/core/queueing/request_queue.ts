import type { WorkClass } from "../../generated/rules.ts";
import { ClassQueue } from "./class_queue.ts";

/** What `p-queue` runs when a request's turn has come. */
export type RunFunction = () => Promise<unknown>;

/** Facts of a request that its place in the queue depends on. */
export interface QueueOptions {
  readonly id?: string;
  readonly className: string;
  readonly workspace: string;
  /** Time by which the request has to start, timer time in milliseconds. */
  readonly latestStart: number;
  /** Expected service, milliseconds of a slot. */
  readonly cost: number;
}

/** A request in the queue. */
export interface QueuedItem extends QueueOptions {
  readonly run: RunFunction;
  readonly order: number;
  /** True: it has left the queue without having been served. */
  removed: boolean;
}

/** What the queue needs to know of the pool that it stands before. */
export interface RequestQueueOptions {
  readonly classes: readonly WorkClass[];
  /** True where a request of the class could be placed now. */
  readonly hasRoom: (workClass: WorkClass) => boolean;
  /** Share of the dispatched service kept for a class whose rule names none. */
  readonly defaultShare: number;
}

interface ClassState {
  readonly workClass: WorkClass;
  readonly queue: ClassQueue;
  /** Service owed to the class while it waited, milliseconds of a slot. */
  credit: number;
}

/** Credit is kept up to this; a class that waited long gets no long burst. */
const MOST_CREDIT_MILLISECONDS = 20_000;

/**
 * Queue before one pool, for `p-queue`'s `queueClass`. Load: urgent and bulk
 * work for the same engines. The most urgent class goes first, except that a
 * class which has waited while others took more than its share is served from
 * that share: so urgent work never waits behind bulk by more than one
 * dispatch, and bulk still moves while urgent work fills the fleet.
 *
 * `size` counts only what could be placed now, because `p-queue` runs whatever
 * `dequeue` gives it: bulk without room must not hide urgent work with room.
 */
export class RequestQueue {
  readonly #options: RequestQueueOptions;
  #states: readonly ClassState[] = [];
  #byName: ReadonlyMap<string, ClassState> = new Map();
  readonly #byId = new Map<string, QueuedItem>();
  #order = 0;

  constructor(options: RequestQueueOptions) {
    this.#options = options;
    this.useClasses(options.classes);
  }

  /** Takes the classes of new rules; what waits keeps its place in its class. */
  useClasses(classes: readonly WorkClass[]): void {
    this.#states = [...classes]
      .sort((one, other) => one.priority - other.priority)
      .map((workClass) => ({
        workClass,
        queue: new ClassQueue(),
        credit: 0,
      }));
    this.#byName = new Map(
      this.#states.map((state) => [state.workClass.name, state]),
    );
    for (const item of this.#byId.values()) {
      this.#stateOf(item.className).queue.push(item);
    }
  }

  get size(): number {
    let size = 0;
    for (const { workClass, queue } of this.#states) {
      if (queue.size === 0) continue;
      if (this.#options.hasRoom(workClass)) size += queue.size;
    }
    return size;
  }

  /** All that waits, with room or without. */
  get waiting(): number {
    return this.#byId.size;
  }

  enqueue(run: RunFunction, options?: Partial<QueueOptions>): void {
    const order = this.#order++;
    const item: QueuedItem = {
      id: options?.id ?? String(order),
      className: options?.className ?? "",
      workspace: options?.workspace ?? "",
      latestStart: options?.latestStart ?? Infinity,
      cost: options?.cost ?? 1,
      run,
      order,
      removed: false,
    };
    this.#byId.set(item.id as string, item);
    this.#stateOf(item.className).queue.push(item);
  }

  dequeue(): RunFunction | undefined {
    const first = this.#mostUrgent();
    const state = first === undefined ? undefined : this.#owedAfter(first);
    const item = state?.queue.pop();
    if (state === undefined || item === undefined) return undefined;
    this.#byId.delete(item.id as string);
    if (state === first) this.#owe(state, item.cost);
    else state.credit -= item.cost;
    return item.run;
  }

  /** Takes a request out of the queue; false where it isn't there any more. */
  remove(id: string): boolean {
    const item = this.#byId.get(id);
    if (item === undefined) return false;
    this.#byId.delete(id);
    this.#stateOf(item.className).queue.remove(item);
    return true;
  }

  filter(options: Readonly<Partial<QueueOptions>>): RunFunction[] {
    return [...this.#byId.values()]
      .filter((item) => item.className === options.className)
      .map((item) => item.run);
  }

  /** The order comes from class, share and slack; it can't be set by hand. */
  setPriority(): void {}

  /** Expected service of what goes before a new request of the class. */
  costBefore(className: string): number {
    const own = this.#stateOf(className).workClass.priority;
    let cost = 0;
    for (const { workClass, queue } of this.#states) {
      if (workClass.priority <= own) cost += queue.cost;
    }
    return cost;
  }

  waitingIn(className: string): number {
    return this.#stateOf(className).queue.size;
  }

  waitingOf(workspace: string): number {
    let waiting = 0;
    for (const { queue } of this.#states) waiting += queue.waitingOf(workspace);
    return waiting;
  }

  /** Identity of a request of a class less urgent than this one, if any waits. */
  lessUrgentThan(priority: number): string | undefined {
    for (let index = this.#states.length - 1; index >= 0; index--) {
      const { workClass, queue } = this.#states[index];
      if (workClass.priority <= priority) return undefined;
      if (queue.size === 0) continue;
      for (const item of this.#byId.values()) {
        if (item.className === workClass.name) return item.id;
      }
    }
    return undefined;
  }

  #stateOf(className: string): ClassState {
    return this.#byName.get(className) ?? this.#states[this.#states.length - 1];
  }

  #mostUrgent(): ClassState | undefined {
    return this.#states.find((state) => this.#canServe(state));
  }

  /** A class that is owed service goes before the most urgent one. */
  #owedAfter(first: ClassState): ClassState {
    const owed = this.#states.find((state) =>
      state !== first && state.credit > 0 && this.#canServe(state)
    );
    return owed ?? first;
  }

  #canServe(state: ClassState): boolean {
    return state.queue.size > 0 && this.#options.hasRoom(state.workClass);
  }

  /** Every other class that waits is owed its share of what was dispatched. */
  #owe(served: ClassState, cost: number): void {
    for (const state of this.#states) {
      if (state === served || state.queue.size === 0) continue;
      const share = state.workClass.share ?? this.#options.defaultShare;
      state.credit = Math.min(
        MOST_CREDIT_MILLISECONDS,
        state.credit + share * cost,
      );
    }
  }
}
