import type { WorkClass } from "../../generated/rules.ts";
import { ClassQueue } from "./class_queue.ts";

/** Function that `p-queue` calls when a request is dequeued. */
export type RunFunction = () => Promise<unknown>;

/** Properties of a request that determine its position in the queue. */
export interface QueueOptions {
  readonly id?: string;
  readonly className: string;
  readonly workspace: string;
  /** Latest time at which the request has to start, in timer milliseconds. */
  readonly latestStart: number;
  /** Expected service time, in milliseconds of one slot. */
  readonly cost: number;
}

/** A request in the queue. */
export interface QueuedItem extends QueueOptions {
  readonly run: RunFunction;
  readonly order: number;
  /** True if it left the queue without being served. */
  removed: boolean;
}

/** Options of a request queue; they describe the pool that it serves. */
export interface RequestQueueOptions {
  readonly classes: readonly WorkClass[];
  /** Returns whether a request of the class can be placed now. */
  readonly hasCapacity: (workClass: WorkClass) => boolean;
  /**
   * Share of the dispatched service that is reserved for a class without a
   * `share`.
   */
  readonly defaultShare: number;
}

interface ClassState {
  readonly workClass: WorkClass;
  readonly queue: ClassQueue;
  /**
   * Service owed to the class since it began to wait, in milliseconds of one
   * slot.
   */
  credit: number;
}

/**
 * Upper bound of the credit, so that a class that waited long gets no long
 * burst.
 */
const MAX_CREDIT_MILLISECONDS = 20_000;

/**
 * Queue of one pool, used as the `queueClass` of `p-queue`. The most urgent
 * class is served first, unless a waiting class has received less than its
 * share; that class is then served up to its share. Urgent work thus waits
 * behind bulk work for one dispatch at most, and bulk work still proceeds while
 * urgent work saturates the fleet.
 *
 * `size` counts only requests that can be placed now, because `p-queue` runs
 * whatever `dequeue` returns: a bulk request without capacity must not block an
 * urgent request with capacity.
 */
export class RequestQueue {
  readonly #options: RequestQueueOptions;
  #states: readonly ClassState[] = [];
  #byName: ReadonlyMap<string, ClassState> = new Map();
  readonly #byId = new Map<string, QueuedItem>();
  #nextOrder = 0;

  constructor(options: RequestQueueOptions) {
    this.#options = options;
    this.setClasses(options.classes);
  }

  /**
   * Replaces the classes; queued requests stay in the class of the same name.
   */
  setClasses(classes: readonly WorkClass[]): void {
    this.#states = [...classes]
      .sort((left, right) => left.priority - right.priority)
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
      if (this.#options.hasCapacity(workClass)) size += queue.size;
    }
    return size;
  }

  /** Number of queued requests, whether or not they can be placed now. */
  get waiting(): number {
    return this.#byId.size;
  }

  enqueue(run: RunFunction, options?: Partial<QueueOptions>): void {
    const order = this.#nextOrder++;
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
    const first = this.#mostUrgentServable();
    const state = first === undefined ? undefined : this.#selectClass(first);
    const item = state?.queue.pop();
    if (state === undefined || item === undefined) return undefined;
    this.#byId.delete(item.id as string);
    if (state === first) this.#creditOthers(state, item.cost);
    else state.credit -= item.cost;
    return item.run;
  }

  /** Removes a request from the queue; returns false if it is not queued. */
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

  /** Does nothing: the order follows from class, share and slack. */
  setPriority(): void {}

  /** Expected service time that is ahead of a new request of the class. */
  costAhead(className: string): number {
    const own = this.#stateOf(className).workClass.priority;
    let cost = 0;
    for (const { workClass, queue } of this.#states) {
      if (workClass.priority <= own) cost += queue.cost;
    }
    return cost;
  }

  countForClass(className: string): number {
    return this.#stateOf(className).queue.size;
  }

  countForWorkspace(workspace: string): number {
    let waiting = 0;
    for (const { queue } of this.#states) waiting += queue.countFor(workspace);
    return waiting;
  }

  /** Id of a queued request of a less urgent class, if there is one. */
  findLessUrgent(priority: number): string | undefined {
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

  #mostUrgentServable(): ClassState | undefined {
    return this.#states.find((state) => this.#canServe(state));
  }

  /**
   * Returns a class with credit if there is one, else the most urgent class.
   */
  #selectClass(first: ClassState): ClassState {
    const credited = this.#states.find((state) =>
      state !== first && state.credit > 0 && this.#canServe(state)
    );
    return credited ?? first;
  }

  #canServe(state: ClassState): boolean {
    return state.queue.size > 0 && this.#options.hasCapacity(state.workClass);
  }

  /**
   * Credits all other waiting classes with their share of the dispatched
   * service.
   */
  #creditOthers(served: ClassState, cost: number): void {
    for (const state of this.#states) {
      if (state === served || state.queue.size === 0) continue;
      const share = state.workClass.share ?? this.#options.defaultShare;
      state.credit = Math.min(
        MAX_CREDIT_MILLISECONDS,
        state.credit + share * cost,
      );
    }
  }
}
