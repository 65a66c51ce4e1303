import { Heap } from "./heap.ts";
import type { QueuedItem } from "./request_queue.ts";

interface WorkspaceQueue {
  readonly workspace: string;
  readonly items: Heap<QueuedItem>;
  /** Service received, in the virtual time of the class. */
  virtualTime: number;
  pending: number;
}

/**
 * Queue of one class, fair among workspaces (start-time fair queueing), so that
 * the burst of a workspace that sends a hundred times as many requests as
 * others does not delay theirs. Within a workspace, the request with the least
 * slack is first. Each operation is logarithmic in the number of queued
 * workspaces and requests.
 */
export class ClassQueue {
  readonly #workspaces = new Map<string, WorkspaceQueue>();
  readonly #byVirtualTime = new Heap<WorkspaceQueue>((left, right) =>
    left.virtualTime < right.virtualTime
  );
  #virtualTime = 0;
  #size = 0;
  #cost = 0;

  get size(): number {
    return this.#size;
  }

  /** Sum of the costs of the queued requests. */
  get cost(): number {
    return this.#cost;
  }

  countFor(workspace: string): number {
    return this.#workspaces.get(workspace)?.pending ?? 0;
  }

  push(item: QueuedItem): void {
    const existing = this.#workspaces.get(item.workspace);
    const queue = existing ?? this.#addWorkspace(item.workspace);
    queue.items.push(item);
    queue.pending += 1;
    this.#size += 1;
    this.#cost += item.cost;
  }

  /** Removes and returns the next request; undefined if the queue is empty. */
  pop(): QueuedItem | undefined {
    for (;;) {
      const queue = this.#byVirtualTime.peek();
      if (queue === undefined) return undefined;
      const item = queue.items.pop();
      if (item !== undefined && item.removed) continue;
      this.#byVirtualTime.pop();
      if (item === undefined) {
        this.#workspaces.delete(queue.workspace);
        continue;
      }
      this.#virtualTime = queue.virtualTime;
      queue.virtualTime += item.cost;
      this.#byVirtualTime.push(queue);
      this.#recordRemoval(queue, item);
      return item;
    }
  }

  /**
   * Removes a request without serving it; it stays in the heap until `pop`
   * skips it.
   */
  remove(item: QueuedItem): void {
    const queue = this.#workspaces.get(item.workspace);
    if (queue === undefined || item.removed) return;
    item.removed = true;
    this.#recordRemoval(queue, item);
  }

  #recordRemoval(queue: WorkspaceQueue, item: QueuedItem): void {
    queue.pending -= 1;
    this.#size -= 1;
    this.#cost = this.#size === 0 ? 0 : this.#cost - item.cost;
  }

  #addWorkspace(workspace: string): WorkspaceQueue {
    const queue: WorkspaceQueue = {
      workspace,
      items: new Heap((left, right) => left.latestStart < right.latestStart),
      virtualTime: this.#virtualTime,
      pending: 0,
    };
    this.#workspaces.set(workspace, queue);
    this.#byVirtualTime.push(queue);
    return queue;
  }
}
