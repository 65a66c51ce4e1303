import { err, ok, type Result } from "neverthrow";
import { failure } from "../../src/core/errors/mod.ts";
import { identifier } from "../../src/core/identity/mod.ts";
import type {
  LogFailure,
  LogReadOptions,
  LogService,
  StreamName,
} from "../../src/core/journal/mod.ts";
import type {
  AttemptCall,
  EndpointFailure,
  EndpointLink,
  EntryLink,
  GenerationCall,
  LinkFailure,
  PeerAddress,
  SideLink,
} from "../../src/core/links/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
} from "../../src/generated/messages.ts";
import type { AttemptHandle, SideCore } from "../../src/side/mod.ts";
import type { EntryCore } from "../../src/entry/mod.ts";
import type { FakeLog } from "../support/fake_log.ts";
import type { FakeEngine, FakeService } from "./endpoints.ts";
import { ENDPOINT_CLOSED, LOG_UNKNOWN, LOST, NOT_SENT } from "./failures.ts";
import type { ProcessGate } from "./process_gate.ts";
import { Channel, type Wire } from "./wire.ts";

/** One run of an entry or a side. */
export interface RunningProcess<Core> {
  readonly name: string;
  readonly gate: ProcessGate;
  readonly core: Core;
}

export interface LinksOptions {
  readonly timer: TimerService;
  readonly wire: Wire;
  readonly log: FakeLog;
  /** The run that listens at the address at present. */
  readonly sideAt: (address: string) => RunningProcess<SideCore> | undefined;
  readonly entryAt: (address: string) => RunningProcess<EntryCore> | undefined;
  /** Told of each record that the log has taken. */
  readonly onAppended: (
    stream: string,
    appended: { offset: number; record: unknown },
  ) => void;
  /** Stands in for the side's answers and frames where a guard is out. */
  readonly alter?: LinkAlterations;
}

/** Ways in which a test takes a guard out at the wire. */
export interface LinkAlterations {
  readonly attempt?: (
    attempt: AttemptRequest,
    side: SideCore,
  ) => AttemptRequest;
  readonly ask?: (
    question: Parameters<SideCore["ask"]>[0],
    side: SideCore,
  ) => ReturnType<SideCore["ask"]>;
  readonly frame?: (frame: AttemptFrame, requestId: string) => AttemptFrame;
}

interface OpenCall {
  readonly from: string;
  readonly to: string;
  /** The other end has gone; its connections close. */
  readonly fail: () => void;
  /** This end has gone; the other one sees its connections close. */
  readonly abandon: () => void;
}

const CALL_LIMIT_MILLISECONDS = 2_000;
const APPEND_LIMIT_MILLISECONDS = 3_000;
/** After a last frame that does not arrive, the connection is seen to break. */
const BROKEN_MILLISECONDS = 3_000;
const LAST_FRAMES: ReadonlySet<string> = new Set([
  "end",
  "response",
  "not_run",
  "failed",
]);

/** The links of every process of a run, over one wire. */
export class Links {
  readonly #options: LinksOptions;
  readonly #open = new Set<OpenCall>();

  constructor(options: LinksOptions) {
    this.#options = options;
  }

  /** A process has gone: its connections close at both ends. */
  closeAll(name: string): void {
    for (const call of [...this.#open]) {
      if (call.to === name) this.#soon(call.fail);
      if (call.from === name) this.#soon(call.abandon);
    }
  }

  sides(from: string, gate: ProcessGate): SideLink {
    return {
      run: (address, attempt, onFrame) =>
        this.#run({ from, gate, address }, attempt, onFrame),
      ask: (address, question) =>
        this.#call({ from, gate, address, kind: "ask" }, () => {
          const side = this.#options.sideAt(address)?.core as SideCore;
          return this.#options.alter?.ask?.(question, side) ??
            side.ask(question);
        }),
      report: (address) =>
        this.#call(
          { from, gate, address, kind: "report" },
          () => this.#options.sideAt(address)?.core.report(),
        ),
    };
  }

  entries(from: string, gate: ProcessGate): EntryLink {
    const at = (address: PeerAddress) => this.#options.entryAt(address)?.core;
    return {
      watch: (address, question) =>
        this.#call({
          from,
          gate,
          address,
          kind: "watch",
          waitMilliseconds: question.waitMilliseconds,
        }, () => at(address)?.watch(question)),
      status: (address) =>
        this.#call(
          { from, gate, address, kind: "status" },
          () => at(address)?.status(),
        ),
      snapshot: (address, stream) =>
        this.#call(
          { from, gate, address, kind: "snapshot" },
          () => at(address)?.snapshot(stream),
        ),
    };
  }

  logOf(from: string, gate: ProcessGate): LogService {
    return {
      append: (stream, records) =>
        gate.hold(this.#append(from, { stream, records })),
      read: (stream, options) => gate.hold(this.#read(from, stream, options)),
    };
  }

  endpointOf(
    from: string,
    gate: ProcessGate,
    endpoint: FakeEngine | FakeService,
  ): EndpointLink {
    const hop = new EndpointHop(this.#options, { from, gate, endpoint });
    return {
      generate: (attempt, onToken) => hop.generate(attempt, onToken),
      call: (attempt) => hop.call(attempt),
      observe: () => hop.observe(),
      order: (target, fencing) => hop.order(target, fencing),
    };
  }

  #call<Answer>(
    call: {
      from: string;
      gate: ProcessGate;
      address: string;
      kind: string;
      waitMilliseconds?: number;
    },
    answer: () => Answer | Promise<Answer> | undefined,
  ): Promise<Result<Answer, LinkFailure>> {
    const { timer, wire } = this.#options;
    const to = nameOf(call.address);
    return call.gate.hold(
      new Promise((resolve) => {
        const limit = CALL_LIMIT_MILLISECONDS + (call.waitMilliseconds ?? 0);
        const open: OpenCall = {
          from: call.from,
          to,
          fail: () => end(err(failure(LOST, {}))),
          abandon: () => end(err(failure(LOST, {}))),
        };
        const end = (result: Result<Answer, LinkFailure>) => {
          this.#open.delete(open);
          alarm.cancel();
          resolve(result);
        };
        const alarm = timer.after(limit, open.fail);
        this.#open.add(open);
        const route = { from: call.from, to };
        const arrive = () => {
          const target = this.#listener(call.address);
          if (target === undefined) return end(err(failure(NOT_SENT, {})));
          target.gate.pass(async () => {
            const value = await answer();
            if (!target.gate.alive) return;
            if (value === undefined) return end(err(failure(LOST, {})));
            const text = JSON.stringify(value);
            wire.send({
              step: `${call.kind} answer`,
              from: to,
              to: call.from,
              arrive: () => end(ok(JSON.parse(text))),
            });
          });
        };
        wire.send({ ...route, step: call.kind, arrive });
      }),
    );
  }

  #run(
    route: { from: string; gate: ProcessGate; address: string },
    attempt: AttemptRequest,
    onFrame: (frame: AttemptFrame) => void,
  ): AttemptCall {
    const { timer, wire } = this.#options;
    const { from, gate } = route;
    const to = nameOf(route.address);
    const way = new Channel();
    const back = new Channel();
    let handle: AttemptHandle | undefined;
    let refused = false;
    let settle!: (result: Result<void, LinkFailure>) => void;
    const closed = new Promise<Result<void, LinkFailure>>((resolve) => {
      settle = (result) => {
        this.#open.delete(open);
        resolve(result);
      };
    });
    const open: OpenCall = {
      from,
      to,
      fail: () => settle(err(failure(LOST, {}))),
      abandon: () => handle?.cancel(),
    };
    this.#open.add(open);
    const emit = (frame: AttemptFrame, target: RunningProcess<SideCore>) => {
      if (!target.gate.alive) return;
      const altered = this.#options.alter?.frame?.(frame, attempt.requestId);
      const text = JSON.stringify(altered ?? frame);
      const last = LAST_FRAMES.has(frame.kind);
      if (last) timer.after(BROKEN_MILLISECONDS, open.fail);
      wire.send({
        step: `frame ${frame.kind}`,
        from: to,
        to: from,
        arrive: () =>
          gate.pass(() => {
            onFrame(JSON.parse(text));
            if (last) settle(ok(undefined));
          }),
      }, back);
    };
    wire.send({
      step: stepOf(attempt),
      from,
      to,
      arrive: () => {
        const target = this.#options.sideAt(route.address);
        if (target === undefined || refused) {
          refused = handle === undefined;
          return settle(err(failure(refused ? NOT_SENT : LOST, {})));
        }
        target.gate.pass(() => {
          const copy = JSON.parse(JSON.stringify(attempt));
          const altered = this.#options.alter?.attempt?.(copy, target.core);
          const run = target.core.run(
            altered ?? copy,
            (frame) => emit(frame, target),
          );
          handle ??= run;
        });
      },
    }, way);
    const tell = (name: keyof AttemptHandle) =>
      wire.send({
        step: name,
        from,
        to,
        arrive: () => {
          this.#options.sideAt(route.address)?.gate.pass(() =>
            handle?.[name]()
          );
        },
      }, way);
    return {
      closed: gate.hold(closed),
      cancel: () => tell("cancel"),
      pause: () => tell("pause"),
      resume: () => tell("resume"),
    };
  }

  #append(
    from: string,
    call: { stream: StreamName; records: readonly unknown[] },
  ): ReturnType<LogService["append"]> {
    const { timer, wire, log } = this.#options;
    const step = `append ${kindOf(call.records[0])}`;
    return new Promise((resolve) => {
      const alarm = timer.after(
        APPEND_LIMIT_MILLISECONDS,
        () => resolve(err(failure(LOG_UNKNOWN, {}))),
      );
      const arrive = async () => {
        const result = await log.append(call.stream, call.records);
        if (result.isOk()) this.#tellAppended(call, result.value);
        wire.send({
          step: `${step} answer`,
          from: "log",
          to: from,
          arrive: () => {
            alarm.cancel();
            resolve(result);
          },
        });
      };
      wire.send({ step, from, to: "log", arrive: () => void arrive() });
    });
  }

  #tellAppended(
    call: { stream: StreamName; records: readonly unknown[] },
    first: number,
  ): void {
    call.records.forEach((record, index) =>
      this.#options.onAppended(call.stream, { offset: first + index, record })
    );
  }

  async #read(
    from: string,
    stream: StreamName,
    options: LogReadOptions,
  ): ReturnType<LogService["read"]> {
    const { wire, log, timer } = this.#options;
    if (wire.isCut(from, "log") || wire.isCut("log", from)) {
      await new Promise<void>((resolve) => {
        timer.after(CALL_LIMIT_MILLISECONDS, resolve);
      });
      const name = "log_unavailable" as const;
      const failed: LogFailure = { ...failure(LOG_UNKNOWN, {}), name };
      return err(failed);
    }
    return await log.read(stream, options);
  }

  #listener(address: string): RunningProcess<unknown> | undefined {
    return this.#options.sideAt(address) ?? this.#options.entryAt(address);
  }

  #soon(work: () => void): void {
    this.#options.timer.after(1, work);
  }
}

interface HopSide {
  readonly from: string;
  readonly gate: ProcessGate;
  readonly endpoint: FakeEngine | FakeService;
}

/** The local hop between a side and its endpoint. */
class EndpointHop {
  readonly #options: LinksOptions;
  readonly #side: HopSide;

  constructor(options: LinksOptions, side: HopSide) {
    this.#options = options;
    this.#side = side;
  }

  generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    const { from, gate } = this.#side;
    const engine = this.#side.endpoint as FakeEngine;
    let call: GenerationCall | undefined;
    let cancelled = false;
    const finished = new Promise<Awaited<GenerationCall["finished"]>>(
      (resolve) => {
        const arrive = () => {
          if (cancelled || !gate.alive) return;
          call = engine.generate(
            attempt,
            (text) => gate.pass(() => onToken(text)),
          );
          void call.finished.then(resolve);
        };
        this.#options.wire.send({
          step: "generate",
          from,
          to: engine.id,
          arrive,
        });
      },
    );
    return {
      finished: gate.hold(finished),
      cancel: () => {
        cancelled = true;
        call?.cancel();
      },
      pause: () => call?.pause(),
      resume: () => call?.resume(),
    };
  }

  call(attempt: AttemptRequest): ReturnType<EndpointLink["call"]> {
    const service = this.#side.endpoint as FakeService;
    return this.#ask("call", () => service.call(attempt));
  }

  order(
    target: Parameters<EndpointLink["order"]>[0],
    fencing: number,
  ): ReturnType<EndpointLink["order"]> {
    const engine = this.#side.endpoint as FakeEngine;
    return this.#ask("order", () => engine.order(target, fencing));
  }

  observe(): ReturnType<EndpointLink["observe"]> {
    const engine = this.#side.endpoint as FakeEngine;
    return this.#ask("observe", () => engine.observe());
  }

  #ask<Value, Failed>(
    step: string,
    act: () =>
      | Result<Value, Failed | EndpointFailure>
      | Promise<Result<Value, Failed | EndpointFailure>>,
  ): Promise<Result<Value, Failed | EndpointFailure>> {
    const { from, gate, endpoint } = this.#side;
    const { wire, timer } = this.#options;
    const asked = new Promise<Result<Value, Failed | EndpointFailure>>(
      (resolve) => {
        timer.after(
          CALL_LIMIT_MILLISECONDS,
          () => resolve(err(failure(ENDPOINT_CLOSED, {}))),
        );
        const arrive = async () => {
          const result = await act();
          wire.send({
            step: `${step} answer`,
            from: endpoint.id,
            to: from,
            arrive: () => resolve(result),
          });
        };
        wire.send({
          step,
          from,
          to: endpoint.id,
          arrive: () => void arrive(),
        });
      },
    );
    return gate.hold(asked);
  }
}

/** Name of the process that listens at an address. */
export function nameOf(address: string): string {
  return address.slice(0, address.indexOf(":"));
}

export function addressOf(name: string): PeerAddress {
  return identifier(`${name}:7000`);
}

function stepOf({ work, once }: AttemptRequest): string {
  if (work.kind === "generation") return "attempt generation";
  if (work.idempotent) return "attempt repeatable";
  return once === undefined ? "attempt unkeyed" : "attempt keyed";
}

function kindOf(record: unknown): string {
  return (record as { body?: { kind?: string } }).body?.kind ?? "unknown";
}
