import type { OpenWork, StepSample } from "../../core/forwarding/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { EndpointResponse } from "./network_interfaces.ts";

/**
 * Time over which events are counted for one sample. The load of an engine
 * changes little meanwhile, and the cost does not depend on the event rate.
 */
const SAMPLE_MILLISECONDS = 250;
/** End of an event. */
const EVENT_END = "\n\n";

export interface PaceOptions {
  readonly timer: TimerService;
  /** Open work of all entries at the endpoint. */
  readonly openWork: () => OpenWork;
  /** How long work takes at the endpoint now, relative to usual. */
  readonly workFactor: () => number;
  readonly onSteps: (sample: StepSample) => void;
  /** Called with the number of events of a response that has ended whole. */
  readonly onWhole: (events: number) => void;
}

/** Events counted since the last sample. */
interface Segment {
  readonly startedAt: number;
  readonly work: OpenWork;
  steps: number;
  lastAt: number;
}

/** Returns the response, with the times between its events observed. */
export function observePace(
  response: EndpointResponse,
  options: PaceOptions,
): EndpointResponse {
  const { onSteps, onWhole, openWork, timer, workFactor } = options;
  let segment: Segment | undefined;
  let total = 0;
  const sample = () => {
    if (segment === undefined || segment.steps === 0) return;
    const { lastAt, startedAt, steps, work } = segment;
    const now = openWork();
    onSteps({
      steps,
      milliseconds: (lastAt - startedAt) / workFactor(),
      responses: (work.requests + now.requests) / 2,
      tokens: (work.tokens + now.tokens) / 2,
      prefillMilliseconds:
        (work.prefillMilliseconds + now.prefillMilliseconds) / 2,
    });
  };
  const start = () => {
    const now = timer.now();
    segment = { startedAt: now, work: openWork(), steps: 0, lastAt: now };
  };
  const onEvents = (events: number) => {
    total += events;
    if (segment === undefined) return start();
    segment.steps += events;
    segment.lastAt = timer.now();
    if (segment.lastAt - segment.startedAt < SAMPLE_MILLISECONDS) return;
    sample();
    start();
  };
  return {
    ...response,
    read(onChunk, onEnd) {
      response.read((chunk) => {
        const events = countEvents(chunk);
        if (events > 0) onEvents(events);
        onChunk(chunk);
      }, (end) => {
        sample();
        if (end === "whole") onWhole(total);
        onEnd(end);
      });
    },
    // The times of a paused response are those of a slow caller.
    pause() {
      segment = undefined;
      response.pause();
    },
    resume() {
      segment = undefined;
      response.resume();
    },
  };
}

function countEvents(chunk: Buffer): number {
  let events = 0;
  let end = chunk.indexOf(EVENT_END);
  while (end >= 0) {
    events += 1;
    end = chunk.indexOf(EVENT_END, end + EVENT_END.length);
  }
  return events;
}
