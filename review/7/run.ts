/**
 * A configuration moves a route to a service whose replicas number the events of
 * a stream by their tokens.
 */
import { playMovedRoute } from "../support-2/moved_route.ts";
import { runCase } from "../support-2/run_case.ts";
import { streamScript } from "../support-2/stream_script.ts";

const FOLDER = "review/7";
const REPLICAS = 3;
const SLOTS = 8;
const DEADLINE_MILLISECONDS = 5_000;
const EVENT_IDS_BY_NUMBER = [1, 2, 3, 4, 5, 6];
/** Three tokens an event. */
const EVENT_IDS_BY_TOKENS = [3, 6, 9, 12, 15, 18];

await runCase(FOLDER, (options) => {
  const service = (name: string, eventIds: readonly number[]) => ({
    name,
    replicas: REPLICAS,
    slots: SLOTS,
    script: (replica: string) =>
      streamScript({
        name: replica,
        record: options.record,
        eventIds,
        isChunked: true,
      }),
  });
  return playMovedRoute({
    route: {
      name: "r-answers",
      host: "review.example",
      path_prefix: "/answers/",
      route_type: "streaming",
      timeout_ms: DEADLINE_MILLISECONDS,
      target_latency_ms: 300,
      gap_aim_ms: 150,
      priority: 0,
      max_attempts: 1,
      resumable: false,
    },
    from: service("by-number", EVENT_IDS_BY_NUMBER),
    to: service("by-tokens", EVENT_IDS_BY_TOKENS),
    request: {
      method: "POST",
      path: "/answers/a",
      body: "question",
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    },
    callersPerEntry: 3,
    pauseMilliseconds: 60,
    afterMilliseconds: 12_000,
  }, options);
});
