/** The order in which waiting requests are served. */
export { Heap } from "./heap.ts";
export { RequestQueue } from "./request_queue.ts";
export type {
  QueueOptions,
  RequestQueueOptions,
  RunFunction,
} from "./request_queue.ts";
