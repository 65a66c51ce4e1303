import { EventStreamPosition } from "../../core/forwarding/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import { isEventStream, isSuccess, withoutLength } from "./event_stream.ts";
import type { Guard } from "./forward_context.ts";
import type { BodyEnd, EndpointResponse } from "./network_interfaces.ts";
import {
  type EndVerdict,
  provesEnd,
  type WriterWatch,
} from "./writer_watch.ts";

/**
 * An endpoint that stops at the time that it was given may do so this much
 * early: its timers may round down, and its clock may run faster.
 */
const EARLY_STOP_MILLISECONDS = 10;

/** On what the verdict over the end of a body is based. */
export type EndGround =
  /** Whole: all bytes of the announced length have arrived. */
  | "length"
  /** Whole: the last chunk has arrived. */
  | "chunks"
  /** Whole: the writer of a body without framing has outlived it. */
  | "writer"
  /** The connection broke, or this entry ended the body. */
  | "broken_off"
  | "inside_event"
  | "no_event"
  /** Nothing but the end of the connection shows that no event follows. */
  | "unframed_events"
  /** The endpoint's time was up, at which it may stop in order. */
  | "time_limit"
  /** Nothing shows that the writer of a body without framing has outlived it. */
  | "writer_unproven";

/** The verdict over the end of a body, for the log. */
export interface EndFacts extends Partial<EndVerdict> {
  readonly endGround?: EndGround;
  /** Time from the send to the end, milliseconds. */
  readonly endedAfterMilliseconds?: number;
  /** Time that the endpoint was given, milliseconds. */
  readonly allowedMilliseconds: number;
  /** Present if the body is a stream of events. */
  readonly insideEvent?: boolean;
}

export interface BodyEndOptions {
  readonly response: EndpointResponse;
  /** True if the route answers with streams of events. */
  readonly isStreamRoute: boolean;
  /** True if the endpoint was asked for the events behind one. */
  readonly isContinuation: boolean;
  readonly timer: TimerService;
  readonly sentAt: number;
  /** Time that the endpoint was given, milliseconds. */
  readonly allowedMilliseconds: number;
  /** Opens the watch over the writer of a body without framing. */
  readonly openWatch: () => WriterWatch;
  /** Time for questions to the writer, milliseconds. */
  readonly questionMilliseconds: () => number;
  readonly guard: Guard;
}

const ENDS: Readonly<Record<EndGround, BodyEnd>> = {
  length: "whole",
  chunks: "whole",
  writer: "whole",
  unframed_events: "unproven",
  broken_off: "cut",
  inside_event: "cut",
  no_event: "cut",
  time_limit: "cut",
  writer_unproven: "cut",
};

/**
 * Decides whether a body that has ended is whole. A body is whole if its framing
 * says so and nothing else speaks against it; that its endpoint lives, or has
 * ended the connection in order, shows nothing of the events that may follow.
 */
export class BodyEndJudge {
  readonly #options: BodyEndOptions;
  readonly #position: EventStreamPosition | undefined;
  readonly #watch: WriterWatch | undefined;
  #ground: EndGround | undefined;
  #endedAfter: number | undefined;
  #verdict: EndVerdict | undefined;

  /** Call when the head of the response has been read. */
  constructor(options: BodyEndOptions) {
    this.#options = options;
    const { isStreamRoute, openWatch, response } = options;
    const hasEvents = isEventStream(response, { isStreamRoute });
    this.#position = hasEvents ? new EventStreamPosition() : undefined;
    const isWatched = !hasEvents && response.framing === "connection";
    this.#watch = isWatched ? openWatch() : undefined;
  }

  /**
   * The response, whose end is one that is judged. The length of a stream is not
   * passed on: a truncated one that has reached it, or one that another run has
   * continued, would look complete.
   */
  get response(): EndpointResponse {
    const { response } = this.#options;
    const { head } = response;
    return {
      ...response,
      head: this.#position === undefined ? head : withoutLength(head),
      read: (onChunk, onEnd) =>
        response.read((chunk) => {
          this.#position?.push(chunk);
          onChunk(chunk);
        }, (end) => this.#onEnd(end, onEnd)),
    };
  }

  get facts(): EndFacts {
    const { allowedMilliseconds } = this.#options;
    return {
      endGround: this.#ground,
      endedAfterMilliseconds: this.#endedAfter,
      allowedMilliseconds: Math.floor(allowedMilliseconds),
      ...this.#verdict,
      ...(this.#position && { insideEvent: !this.#position.isBetweenEvents }),
    };
  }

  /** Closes the connection for questions to the writer. */
  close(): void {
    this.#watch?.close();
  }

  #onEnd(end: BodyEnd, settle: (end: BodyEnd) => void): void {
    const { guard, sentAt, timer } = this.#options;
    this.#endedAfter = Math.round(timer.now() - sentAt);
    const ground = this.#judge(end);
    if (ground !== undefined) return this.#settle(ground, settle);
    const settleGuarded = guard((late: EndGround) =>
      this.#settle(late, settle)
    );
    this.#judgeWriter().then(
      settleGuarded,
      () => settleGuarded("writer_unproven"),
    );
  }

  /** Undefined if the writer is to be asked. */
  #judge(end: BodyEnd): EndGround | undefined {
    const { framing } = this.#options.response;
    if (end === "cut") return "broken_off";
    const position = this.#position;
    if (position !== undefined && !position.isBetweenEvents) {
      return "inside_event";
    }
    if (this.#isAtTimeLimit) return "time_limit";
    if (position !== undefined && framing === "connection") {
      return position.hasFields ? "unframed_events" : "no_event";
    }
    const mayBeEmpty = this.#options.isContinuation;
    if (position?.hasFields === false && !mayBeEmpty) return "no_event";
    return framing === "connection" ? undefined : framing;
  }

  /** A length can't be reached by a body that is not whole. */
  get #isAtTimeLimit(): boolean {
    const { allowedMilliseconds, response, sentAt, timer } = this.#options;
    if (response.framing === "length" || !isSuccess(response.head)) {
      return false;
    }
    return timer.now() - sentAt >=
      Math.floor(allowedMilliseconds) - EARLY_STOP_MILLISECONDS;
  }

  async #judgeWriter(): Promise<EndGround> {
    this.#verdict = await this.#watch?.judgeEnd(
      this.#options.questionMilliseconds(),
    );
    const isProven = this.#verdict !== undefined &&
      provesEnd(this.#verdict.endEvidence);
    return isProven ? "writer" : "writer_unproven";
  }

  #settle(ground: EndGround, settle: (end: BodyEnd) => void): void {
    this.#ground = ground;
    this.close();
    // The deadline of the request is due, and ends the response.
    if (ground === "time_limit") return;
    settle(ENDS[ground]);
  }
}
