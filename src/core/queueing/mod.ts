/** Queues that order waiting requests by class, fair share and slack. */
export { Heap } from "./heap.ts";
export { RequestQueue } from "./request_queue.ts";
export type {
  QueueOptions,
  RequestQueueOptions,
  RunFunction,
} from "./request_queue.ts";
