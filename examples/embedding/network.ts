import {
  type AttemptCall,
  type AttemptFrame,
  type AttemptHandle,
  type AttemptRequest,
  defineError,
  type EntryCore,
  type EntryLink,
  err,
  failure,
  type LinkFailure,
  ok,
  type PeerAddress,
  type Random,
  type Result,
  type SideCore,
  type SideLink,
  type TimerService,
} from "filbertshore";

const PEER_NOT_REACHED = defineError<{ address: string }>()({
  name: "link_not_sent",
  title: "Peer not reached",
  message: ({ address }) => `No process listens at ${address}`,
  hint: "Add the process to the network first",
});

const ANSWER_LOST = defineError<{ address: string }>()({
  name: "link_lost",
  title: "Peer's answer was lost",
  message: ({ address }) =>
    `The process at ${address} stopped or sent no answer`,
  hint: "It may have processed the message",
});

/** One message between two processes. */
export interface NetworkMessage {
  readonly from: PeerAddress;
  readonly to: PeerAddress;
  readonly kind: string;
  /** Length as JSON, in bytes, without transport overhead. */
  readonly bytes: number;
}

export interface InProcessNetworkOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Minimum one-way delay; random jitter of up to the same length is added. */
  readonly minDelayMilliseconds: number;
  /** Called when a message is sent, for traffic counting. */
  readonly onMessage?: (message: NetworkMessage) => void;
}

interface Route {
  readonly from: PeerAddress;
  readonly to: PeerAddress;
}

interface Call<Answer> {
  readonly kind: string;
  readonly request: unknown;
  readonly answer: () => Answer | Promise<Answer>;
}

const FINAL_FRAMES: ReadonlySet<AttemptFrame["kind"]> = new Set([
  "end",
  "response",
  "not_run",
  "failed",
]);

/**
 * Connects entries and sides in one process through delayed function calls.
 * Messages are copied as JSON, so that processes share no objects, and the
 * frames of one attempt stay in order, as on a connection.
 */
export class InProcessNetwork {
  readonly #options: InProcessNetworkOptions;
  readonly #entries = new Map<PeerAddress, EntryCore>();
  readonly #sides = new Map<PeerAddress, SideCore>();

  constructor(options: InProcessNetworkOptions) {
    this.#options = options;
  }

  addEntry(address: PeerAddress, entry: EntryCore): void {
    this.#entries.set(address, entry);
  }

  addSide(address: PeerAddress, side: SideCore): void {
    this.#sides.set(address, side);
  }

  /** Removes the process that listens at the address. */
  remove(address: PeerAddress): void {
    this.#entries.delete(address);
    this.#sides.delete(address);
  }

  /** Returns the links from the process at `from` to all others. */
  linksOf(from: PeerAddress): { sides: SideLink; entries: EntryLink } {
    return { sides: this.#sideLink(from), entries: this.#entryLink(from) };
  }

  #sideLink(from: PeerAddress): SideLink {
    return {
      run: (to, attempt, onFrame) => this.#run({ from, to }, attempt, onFrame),
      ask: (to, question) =>
        this.#call({ from, to }, {
          kind: "ask",
          request: question,
          answer: () => this.#side(to).ask(question),
        }),
      report: (to) =>
        this.#call({ from, to }, {
          kind: "report",
          request: {},
          answer: () => this.#side(to).report(),
        }),
    };
  }

  #entryLink(from: PeerAddress): EntryLink {
    return {
      watch: async (to, question) => {
        const answer = await this.#call({ from, to }, {
          kind: "watch",
          request: question,
          answer: () => this.#entry(to).watch(question),
        });
        return requireAnswer(answer, to);
      },
      status: (to, question) =>
        this.#call({ from, to }, {
          kind: "status",
          request: question ?? {},
          answer: () => this.#entry(to).status(question),
        }),
      snapshot: async (to, stream) => {
        const answer = await this.#call({ from, to }, {
          kind: "snapshot",
          request: { stream },
          answer: () => this.#entry(to).snapshot(stream),
        });
        return requireAnswer(answer, to);
      },
    };
  }

  async #call<Answer>(
    route: Route,
    call: Call<Answer>,
  ): Promise<Result<Answer, LinkFailure>> {
    this.#reportMessage(route, call.kind, call.request);
    await this.#waitOneWay();
    if (!this.#hasPeer(route.to)) return err(notReached(route.to));
    const answer = jsonCopy(await call.answer());
    if (!this.#hasPeer(route.to)) return err(answerLost(route.to));
    this.#reportMessage({ from: route.to, to: route.from }, call.kind, answer);
    await this.#waitOneWay();
    return ok(answer);
  }

  #run(
    route: Route,
    attempt: AttemptRequest,
    onFrame: (frame: AttemptFrame) => void,
  ): AttemptCall {
    const outbound = new OrderedChannel(
      this.#options.timer,
      () => this.#delay(),
    );
    const inbound = new OrderedChannel(
      this.#options.timer,
      () => this.#delay(),
    );
    let handle: AttemptHandle | undefined;
    let settle: (result: Result<void, LinkFailure>) => void;
    const closed = new Promise<Result<void, LinkFailure>>((resolve) => {
      settle = resolve;
    });
    const emit = (frame: AttemptFrame) => {
      if (!this.#hasPeer(route.to)) return settle(err(answerLost(route.to)));
      this.#reportMessage(
        { from: route.to, to: route.from },
        frame.kind,
        frame,
      );
      inbound.send(() => {
        onFrame(jsonCopy(frame));
        if (FINAL_FRAMES.has(frame.kind)) settle(ok());
      });
    };
    this.#reportMessage(route, "run", attempt);
    outbound.send(() => {
      const side = this.#sides.get(route.to);
      if (side === undefined) return settle(err(notReached(route.to)));
      handle = side.run(jsonCopy(attempt), emit);
    });
    return {
      closed,
      cancel: () => outbound.send(() => handle?.cancel()),
      pause: () => outbound.send(() => handle?.pause()),
      resume: () => outbound.send(() => handle?.resume()),
    };
  }

  #reportMessage(route: Route, kind: string, content: unknown): void {
    const { onMessage } = this.#options;
    if (onMessage === undefined) return;
    onMessage({ ...route, kind, bytes: JSON.stringify(content ?? {}).length });
  }

  #waitOneWay(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timer.after(this.#delay(), resolve);
    });
  }

  #delay(): number {
    const { minDelayMilliseconds, random } = this.#options;
    return minDelayMilliseconds * (1 + random());
  }

  #hasPeer(address: PeerAddress): boolean {
    return this.#entries.has(address) || this.#sides.has(address);
  }

  #entry(address: PeerAddress): EntryCore {
    return this.#entries.get(address) as EntryCore;
  }

  #side(address: PeerAddress): SideCore {
    return this.#sides.get(address) as SideCore;
  }
}

/** One direction of a connection; delivers in order. */
class OrderedChannel {
  readonly #timer: TimerService;
  readonly #delay: () => number;
  #lastArrival = 0;

  constructor(timer: TimerService, delay: () => number) {
    this.#timer = timer;
    this.#delay = delay;
  }

  send(deliver: () => void): void {
    const now = this.#timer.now();
    this.#lastArrival = Math.max(this.#lastArrival, now + this.#delay());
    this.#timer.after(this.#lastArrival - now, deliver);
  }
}

function notReached(address: PeerAddress): LinkFailure {
  return failure(PEER_NOT_REACHED, { address });
}

function answerLost(address: PeerAddress): LinkFailure {
  return failure(ANSWER_LOST, { address });
}

function jsonCopy<Value>(value: Value): Value {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}

/** Treats an undefined answer of an entry as a lost one. */
function requireAnswer<Answer>(
  answer: Result<Answer | undefined, LinkFailure>,
  to: PeerAddress,
): Result<Answer, LinkFailure> {
  if (answer.isErr()) return err(answer.error);
  return answer.value === undefined ? err(answerLost(to)) : ok(answer.value);
}
