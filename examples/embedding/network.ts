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

const NOT_SENT = defineError<{ address: string }>()({
  name: "link_not_sent",
  title: "Peer not reached",
  message: ({ address }) => `Nobody listens at ${address}`,
  hint: "Add the process to the network first",
});

const LOST = defineError<{ address: string }>()({
  name: "link_lost",
  title: "Peer's answer was lost",
  message: ({ address }) => `The process at ${address} has gone`,
  hint: "It may have acted before it went",
});

/** One message between two processes of the system. */
export interface NetworkMessage {
  readonly from: PeerAddress;
  readonly to: PeerAddress;
  readonly kind: string;
  /** Length as JSON, in bytes, without the transport's own. */
  readonly bytes: number;
}

export interface InProcessNetworkOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** One way's time: `fewest` and up to as much again by chance. */
  readonly fewestDelayMilliseconds: number;
  /** Called as each message sets off; for counting. */
  readonly onMessage?: (message: NetworkMessage) => void;
}

interface Route {
  readonly from: PeerAddress;
  readonly to: PeerAddress;
}

interface Call<Answer> {
  readonly kind: string;
  readonly question: unknown;
  readonly answer: () => Answer | Promise<Answer>;
}

const LAST_FRAMES: ReadonlySet<AttemptFrame["kind"]> = new Set([
  "end",
  "response",
  "not_run",
  "failed",
]);

/**
 * Entries and sides in one process, linked by functions over the timer
 * service. Messages are copied as JSON, so that no two processes share an
 * object, and the frames of one attempt keep their order, as on a connection.
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

  /** Nobody listens at the address from now on. */
  remove(address: PeerAddress): void {
    this.#entries.delete(address);
    this.#sides.delete(address);
  }

  /** What the process at `from` needs to reach the others. */
  linksOf(from: PeerAddress): { sides: SideLink; entries: EntryLink } {
    return { sides: this.#sideLink(from), entries: this.#entryLink(from) };
  }

  #sideLink(from: PeerAddress): SideLink {
    return {
      run: (to, attempt, onFrame) => this.#run({ from, to }, attempt, onFrame),
      ask: (to, question) =>
        this.#call({ from, to }, {
          kind: "ask",
          question,
          answer: () => this.#side(to).ask(question),
        }),
      report: (to) =>
        this.#call({ from, to }, {
          kind: "report",
          question: {},
          answer: () => this.#side(to).report(),
        }),
    };
  }

  #entryLink(from: PeerAddress): EntryLink {
    return {
      watch: async (to, question) => {
        const answer = await this.#call({ from, to }, {
          kind: "watch",
          question,
          answer: () => this.#entry(to).watch(question),
        });
        return answered(answer, to);
      },
      status: (to, question) =>
        this.#call({ from, to }, {
          kind: "status",
          question: question ?? {},
          answer: () => this.#entry(to).status(question),
        }),
      snapshot: async (to, stream) => {
        const answer = await this.#call({ from, to }, {
          kind: "snapshot",
          question: { stream },
          answer: () => this.#entry(to).snapshot(stream),
        });
        return answered(answer, to);
      },
    };
  }

  async #call<Answer>(
    route: Route,
    call: Call<Answer>,
  ): Promise<Result<Answer, LinkFailure>> {
    this.#count(route, call.kind, call.question);
    await this.#travel();
    if (!this.#listens(route.to)) return err(notSent(route.to));
    const answer = copy(await call.answer());
    if (!this.#listens(route.to)) return err(lost(route.to));
    this.#count({ from: route.to, to: route.from }, call.kind, answer);
    await this.#travel();
    return ok(answer);
  }

  #run(
    route: Route,
    attempt: AttemptRequest,
    onFrame: (frame: AttemptFrame) => void,
  ): AttemptCall {
    const way = new OrderedWay(this.#options.timer, () => this.#delay());
    const back = new OrderedWay(this.#options.timer, () => this.#delay());
    let handle: AttemptHandle | undefined;
    let settle: (result: Result<void, LinkFailure>) => void;
    const closed = new Promise<Result<void, LinkFailure>>((resolve) => {
      settle = resolve;
    });
    const emit = (frame: AttemptFrame) => {
      if (!this.#listens(route.to)) return settle(err(lost(route.to)));
      this.#count({ from: route.to, to: route.from }, frame.kind, frame);
      back.send(() => {
        onFrame(copy(frame));
        if (LAST_FRAMES.has(frame.kind)) settle(ok());
      });
    };
    this.#count(route, "run", attempt);
    way.send(() => {
      const side = this.#sides.get(route.to);
      if (side === undefined) return settle(err(notSent(route.to)));
      handle = side.run(copy(attempt), emit);
    });
    return {
      closed,
      cancel: () => way.send(() => handle?.cancel()),
      pause: () => way.send(() => handle?.pause()),
      resume: () => way.send(() => handle?.resume()),
    };
  }

  #count(route: Route, kind: string, content: unknown): void {
    const { onMessage } = this.#options;
    if (onMessage === undefined) return;
    onMessage({ ...route, kind, bytes: JSON.stringify(content ?? {}).length });
  }

  #travel(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timer.after(this.#delay(), resolve);
    });
  }

  #delay(): number {
    const { fewestDelayMilliseconds, random } = this.#options;
    return fewestDelayMilliseconds * (1 + random());
  }

  #listens(address: PeerAddress): boolean {
    return this.#entries.has(address) || this.#sides.has(address);
  }

  #entry(address: PeerAddress): EntryCore {
    return this.#entries.get(address) as EntryCore;
  }

  #side(address: PeerAddress): SideCore {
    return this.#sides.get(address) as SideCore;
  }
}

/** One direction of a connection: nothing overtakes. */
class OrderedWay {
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

function notSent(address: PeerAddress): LinkFailure {
  return failure(NOT_SENT, { address });
}

function lost(address: PeerAddress): LinkFailure {
  return failure(LOST, { address });
}

function copy<Value>(value: Value): Value {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}

/** An entry that has no answer at present is like one that gives none. */
function answered<Answer>(
  answer: Result<Answer | undefined, LinkFailure>,
  to: PeerAddress,
): Result<Answer, LinkFailure> {
  if (answer.isErr()) return err(answer.error);
  return answer.value === undefined ? err(lost(to)) : ok(answer.value);
}
