import { Heap } from "./heap.ts";
import type { QueuedItem } from "./request_queue.ts";

interface WorkspaceQueue {
  readonly workspace: string;
  readonly items: Heap<QueuedItem>;
  /** Service received, in the class's virtual time. */
  virtualTime: number;
  live: number;
}

/**
 * Requests of one class that wait, fair among workspaces (start-time fair
 * queueing). Load: one workspace sends a hundred times what the others send.
 * Harm prevented: the others wait behind its burst. Within a workspace the
 * request with the least slack comes first. Cost of a step: logarithmic in the
 * workspaces and requests that wait.
 */
export class ClassQueue {
  readonly #workspaces = new Map<string, WorkspaceQueue>();
  readonly #turn = new Heap<WorkspaceQueue>((one, other) =>
    one.virtualTime < other.virtualTime
  );
  #virtualTime = 0;
  #size = 0;
  #cost = 0;

  get size(): number {
    return this.#size;
  }

  /** Sum of the costs of what waits. */
  get cost(): number {
    return this.#cost;
  }

  waitingOf(workspace: string): number {
    return this.#workspaces.get(workspace)?.live ?? 0;
  }

  push(item: QueuedItem): void {
    const known = this.#workspaces.get(item.workspace);
    const queue = known ?? this.#startWorkspace(item.workspace);
    queue.items.push(item);
    queue.live += 1;
    this.#size += 1;
    this.#cost += item.cost;
  }

  /** Next request, or nothing where none waits. */
  pop(): QueuedItem | undefined {
    for (;;) {
      const queue = this.#turn.peek();
      if (queue === undefined) return undefined;
      const item = queue.items.pop();
      if (item !== undefined && item.removed) continue;
      this.#turn.pop();
      if (item === undefined) {
        this.#workspaces.delete(queue.workspace);
        continue;
      }
      this.#virtualTime = queue.virtualTime;
      queue.virtualTime += item.cost;
      this.#turn.push(queue);
      this.#account(queue, item);
      return item;
    }
  }

  /** Takes a request out that will not be served; its place stays free. */
  remove(item: QueuedItem): void {
    const queue = this.#workspaces.get(item.workspace);
    if (queue === undefined || item.removed) return;
    item.removed = true;
    this.#account(queue, item);
  }

  #account(queue: WorkspaceQueue, item: QueuedItem): void {
    queue.live -= 1;
    this.#size -= 1;
    this.#cost = this.#size === 0 ? 0 : this.#cost - item.cost;
  }

  #startWorkspace(workspace: string): WorkspaceQueue {
    const queue: WorkspaceQueue = {
      workspace,
      items: new Heap((one, other) => one.latestStart < other.latestStart),
      virtualTime: this.#virtualTime,
      live: 0,
    };
    this.#workspaces.set(workspace, queue);
    this.#turn.push(queue);
    return queue;
  }
}
