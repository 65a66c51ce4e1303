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
import type { FakeModelEngine, FakeService } from "./fake_endpoints.ts";
import {
  ENDPOINT_CLOSED,
  LINK_LOST,
  LINK_NOT_SENT,
  LOG_UNKNOWN,
} from "./failures.ts";
import type { ProcessGate } from "./process_gate.ts";
import { type FakeNetwork, OrderedChannel } from "./fake_network.ts";

/** A running entry or side. */
export interface RunningProcess<Core> {
  readonly name: string;
  readonly gate: ProcessGate;
  readonly core: Core;
}

export interface FakeLinksOptions {
  readonly timer: TimerService;
  readonly network: FakeNetwork;
  readonly log: FakeLog;
  /** Returns the process that currently listens at the address. */
  readonly sideAt: (address: string) => RunningProcess<SideCore> | undefined;
  readonly entryAt: (address: string) => RunningProcess<EntryCore> | undefined;
  /** Called for each appended record. */
  readonly onAppended: (
    stream: string,
    appended: { offset: number; record: unknown },
  ) => void;
  /** Changes messages to disable a guard. */
  readonly overrides?: LinkOverrides;
}

/** Overrides of messages by which a test disables a guard. */
export interface LinkOverrides {
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

interface OpenConnection {
  readonly from: string;
  readonly to: string;
  /** Called when the receiver exits. */
  readonly failCaller: () => void;
  /** Called when the caller exits. */
  readonly cancelReceiver: () => void;
}

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const APPEND_TIMEOUT_MILLISECONDS = 3_000;
/** Time until a final frame that did not arrive counts as a lost connection. */
const FRAME_LOSS_MILLISECONDS = 3_000;
const FINAL_FRAME_KINDS: ReadonlySet<string> = new Set([
  "end",
  "response",
  "not_run",
  "failed",
]);

/** The links of all processes of a run, over one network. */
export class FakeLinks {
  readonly #options: FakeLinksOptions;
  readonly #openConnections = new Set<OpenConnection>();

  constructor(options: FakeLinksOptions) {
    this.#options = options;
  }

  /** Closes both ends of the connections of a process that exited. */
  closeConnectionsOf(name: string): void {
    for (const connection of [...this.#openConnections]) {
      if (connection.to === name) this.#schedule(connection.failCaller);
      if (connection.from === name) this.#schedule(connection.cancelReceiver);
    }
  }

  createSideLink(from: string, gate: ProcessGate): SideLink {
    return {
      run: (address, attempt, onFrame) =>
        this.#run({ from, gate, address }, attempt, onFrame),
      ask: (address, question) =>
        this.#call({ from, gate, address, kind: "ask" }, () => {
          const side = this.#options.sideAt(address)?.core as SideCore;
          return this.#options.overrides?.ask?.(question, side) ??
            side.ask(question);
        }),
      report: (address) =>
        this.#call(
          { from, gate, address, kind: "report" },
          () => this.#options.sideAt(address)?.core.report(),
        ),
    };
  }

  createEntryLink(from: string, gate: ProcessGate): EntryLink {
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

  createLogService(from: string, gate: ProcessGate): LogService {
    return {
      append: (stream, records) =>
        gate.defer(this.#append(from, { stream, records })),
      read: (stream, options) => gate.defer(this.#read(from, stream, options)),
    };
  }

  createEndpointLink(
    from: string,
    gate: ProcessGate,
    endpoint: FakeModelEngine | FakeService,
  ): EndpointLink {
    const connection = new EndpointConnection(this.#options, {
      from,
      gate,
      endpoint,
    });
    return {
      generate: (attempt, onToken) => connection.generate(attempt, onToken),
      call: (attempt) => connection.call(attempt),
      observe: () => connection.observe(),
      order: (target, fencing) => connection.order(target, fencing),
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
    const { timer, network } = this.#options;
    const to = processNameOf(call.address);
    return call.gate.defer(
      new Promise((resolve) => {
        const timeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS +
          (call.waitMilliseconds ?? 0);
        const connection: OpenConnection = {
          from: call.from,
          to,
          failCaller: () => end(err(failure(LINK_LOST, {}))),
          cancelReceiver: () => end(err(failure(LINK_LOST, {}))),
        };
        const end = (result: Result<Answer, LinkFailure>) => {
          this.#openConnections.delete(connection);
          timeout.cancel();
          resolve(result);
        };
        const timeout = timer.after(timeoutMilliseconds, connection.failCaller);
        this.#openConnections.add(connection);
        const route = { from: call.from, to };
        const deliver = () => {
          const target = this.#findListener(call.address);
          if (target === undefined) return end(err(failure(LINK_NOT_SENT, {})));
          target.gate.run(async () => {
            const value = await answer();
            if (!target.gate.alive) return;
            if (value === undefined) return end(err(failure(LINK_LOST, {})));
            const text = JSON.stringify(value);
            network.send({
              step: `${call.kind} answer`,
              from: to,
              to: call.from,
              deliver: () => end(ok(JSON.parse(text))),
            });
          });
        };
        network.send({ ...route, step: call.kind, deliver });
      }),
    );
  }

  #run(
    route: { from: string; gate: ProcessGate; address: string },
    attempt: AttemptRequest,
    onFrame: (frame: AttemptFrame) => void,
  ): AttemptCall {
    const { timer, network } = this.#options;
    const { from, gate } = route;
    const to = processNameOf(route.address);
    const requestChannel = new OrderedChannel();
    const responseChannel = new OrderedChannel();
    let handle: AttemptHandle | undefined;
    let refused = false;
    let settle!: (result: Result<void, LinkFailure>) => void;
    const closed = new Promise<Result<void, LinkFailure>>((resolve) => {
      settle = (result) => {
        this.#openConnections.delete(connection);
        resolve(result);
      };
    });
    const connection: OpenConnection = {
      from,
      to,
      failCaller: () => settle(err(failure(LINK_LOST, {}))),
      cancelReceiver: () => handle?.cancel(),
    };
    this.#openConnections.add(connection);
    const emit = (frame: AttemptFrame, target: RunningProcess<SideCore>) => {
      if (!target.gate.alive) return;
      const altered = this.#options.overrides?.frame?.(
        frame,
        attempt.requestId,
      );
      const text = JSON.stringify(altered ?? frame);
      const isFinal = FINAL_FRAME_KINDS.has(frame.kind);
      if (isFinal) timer.after(FRAME_LOSS_MILLISECONDS, connection.failCaller);
      network.send({
        step: `frame ${frame.kind}`,
        from: to,
        to: from,
        deliver: () =>
          gate.run(() => {
            onFrame(JSON.parse(text));
            if (isFinal) settle(ok(undefined));
          }),
      }, responseChannel);
    };
    network.send({
      step: attemptStep(attempt),
      from,
      to,
      deliver: () => {
        const target = this.#options.sideAt(route.address);
        if (target === undefined || refused) {
          refused = handle === undefined;
          return settle(err(failure(refused ? LINK_NOT_SENT : LINK_LOST, {})));
        }
        target.gate.run(() => {
          const copy = JSON.parse(JSON.stringify(attempt));
          const altered = this.#options.overrides?.attempt?.(copy, target.core);
          const run = target.core.run(
            altered ?? copy,
            (frame) => emit(frame, target),
          );
          handle ??= run;
        });
      },
    }, requestChannel);
    const sendControl = (name: keyof AttemptHandle) =>
      network.send({
        step: name,
        from,
        to,
        deliver: () => {
          this.#options.sideAt(route.address)?.gate.run(() => handle?.[name]());
        },
      }, requestChannel);
    return {
      closed: gate.defer(closed),
      cancel: () => sendControl("cancel"),
      pause: () => sendControl("pause"),
      resume: () => sendControl("resume"),
    };
  }

  #append(
    from: string,
    call: { stream: StreamName; records: readonly unknown[] },
  ): ReturnType<LogService["append"]> {
    const { timer, network, log } = this.#options;
    const step = `append ${recordKind(call.records[0])}`;
    return new Promise((resolve) => {
      const timeout = timer.after(
        APPEND_TIMEOUT_MILLISECONDS,
        () => resolve(err(failure(LOG_UNKNOWN, {}))),
      );
      const deliver = async () => {
        const result = await log.append(call.stream, call.records);
        if (result.isOk()) this.#reportAppended(call, result.value);
        network.send({
          step: `${step} answer`,
          from: "log",
          to: from,
          deliver: () => {
            timeout.cancel();
            resolve(result);
          },
        });
      };
      network.send({ step, from, to: "log", deliver: () => void deliver() });
    });
  }

  #reportAppended(
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
    const { network, log, timer } = this.#options;
    if (network.isLinkCut(from, "log") || network.isLinkCut("log", from)) {
      await new Promise<void>((resolve) => {
        timer.after(CALL_TIMEOUT_MILLISECONDS, resolve);
      });
      const name = "log_unavailable" as const;
      const failed: LogFailure = { ...failure(LOG_UNKNOWN, {}), name };
      return err(failed);
    }
    return await log.read(stream, options);
  }

  #findListener(address: string): RunningProcess<unknown> | undefined {
    return this.#options.sideAt(address) ?? this.#options.entryAt(address);
  }

  #schedule(callback: () => void): void {
    this.#options.timer.after(1, callback);
  }
}

interface EndpointRoute {
  readonly from: string;
  readonly gate: ProcessGate;
  readonly endpoint: FakeModelEngine | FakeService;
}

/** The local connection between a side and its endpoint. */
class EndpointConnection {
  readonly #options: FakeLinksOptions;
  readonly #route: EndpointRoute;

  constructor(options: FakeLinksOptions, route: EndpointRoute) {
    this.#options = options;
    this.#route = route;
  }

  generate(
    attempt: AttemptRequest,
    onToken: (text: string) => void,
  ): GenerationCall {
    const { from, gate } = this.#route;
    const engine = this.#route.endpoint as FakeModelEngine;
    let call: GenerationCall | undefined;
    let cancelled = false;
    const finished = new Promise<Awaited<GenerationCall["finished"]>>(
      (resolve) => {
        const deliver = () => {
          if (cancelled || !gate.alive) return;
          call = engine.generate(
            attempt,
            (text) => gate.run(() => onToken(text)),
          );
          void call.finished.then(resolve);
        };
        this.#options.network.send({
          step: "generate",
          from,
          to: engine.id,
          deliver,
        });
      },
    );
    return {
      finished: gate.defer(finished),
      cancel: () => {
        cancelled = true;
        call?.cancel();
      },
      pause: () => call?.pause(),
      resume: () => call?.resume(),
    };
  }

  call(attempt: AttemptRequest): ReturnType<EndpointLink["call"]> {
    const service = this.#route.endpoint as FakeService;
    return this.#request("call", () => service.call(attempt));
  }

  order(
    target: Parameters<EndpointLink["order"]>[0],
    fencing: number,
  ): ReturnType<EndpointLink["order"]> {
    const engine = this.#route.endpoint as FakeModelEngine;
    return this.#request("order", () => engine.order(target, fencing));
  }

  observe(): ReturnType<EndpointLink["observe"]> {
    const engine = this.#route.endpoint as FakeModelEngine;
    return this.#request("observe", () => engine.observe());
  }

  #request<Value, Failed>(
    step: string,
    act: () =>
      | Result<Value, Failed | EndpointFailure>
      | Promise<Result<Value, Failed | EndpointFailure>>,
  ): Promise<Result<Value, Failed | EndpointFailure>> {
    const { from, gate, endpoint } = this.#route;
    const { network, timer } = this.#options;
    const response = new Promise<Result<Value, Failed | EndpointFailure>>(
      (resolve) => {
        timer.after(
          CALL_TIMEOUT_MILLISECONDS,
          () => resolve(err(failure(ENDPOINT_CLOSED, {}))),
        );
        const deliver = async () => {
          const result = await act();
          network.send({
            step: `${step} answer`,
            from: endpoint.id,
            to: from,
            deliver: () => resolve(result),
          });
        };
        network.send({
          step,
          from,
          to: endpoint.id,
          deliver: () => void deliver(),
        });
      },
    );
    return gate.defer(response);
  }
}

/** Returns the name of the process that listens at an address. */
export function processNameOf(address: string): string {
  return address.slice(0, address.indexOf(":"));
}

export function addressOf(name: string): PeerAddress {
  return identifier(`${name}:7000`);
}

function attemptStep({ work, once }: AttemptRequest): string {
  if (work.kind === "generation") return "attempt generation";
  if (work.idempotent) return "attempt repeatable";
  return once === undefined ? "attempt unkeyed" : "attempt keyed";
}

function recordKind(record: unknown): string {
  return (record as { body?: { kind?: string } }).body?.kind ?? "unknown";
}
