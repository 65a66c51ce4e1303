import type {
  LoadPicture,
  PrefixDirectory,
  ReadPrompt,
  WorkReport,
} from "../../core/forwarding/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";

/**
 * How often an entry tells its peers of its open work. Load: five entries that
 * each place a prompt every ten milliseconds, on engines that read one in
 * thirty. Harm prevented: entries that don't know of each other's last sends
 * pick the same engine. Limit: shorter than one prompt's reading, long enough
 * that a busy entry sends a few tens of datagrams a second to each peer.
 */
const TELL_MILLISECONDS = 15;
/** An idle entry still shows that it lives. */
const IDLE_TELL_MILLISECONDS = 300;
/** Notification that carries an entry's open work. */
export const WORK_METHOD = "entry.work";
/** Notification that carries orders to engines. */
export const ROLES_METHOD = "entry.roles";

/** Sends a notification to peers. */
export type SendToPeers = (
  addresses: readonly string[],
  notification: { readonly method: string; readonly params: unknown },
) => void;

/** What an entry tells its peers; each report replaces the one before. */
export interface WorkNotification {
  readonly entry: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly work: WorkReport;
  /** Prompts read since the last report; a lost one costs a part read twice. */
  readonly prompts: readonly ReadPrompt[];
}

export interface PeerExchangeOptions {
  readonly process: string;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly load: LoadPicture;
  readonly prefixes: PrefixDirectory;
  readonly sendToPeers: SendToPeers;
}

/** Tells peers of this entry's open work, and takes in theirs. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  #addresses: readonly string[] = [];
  #knownEntries: number | undefined;
  #telling: Subscription | undefined;
  #sequence = 0;
  #lastText = "";
  #lastTold = -Infinity;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** Entries of the fleet, this one included; undefined while unknown. */
  get knownEntries(): number | undefined {
    return this.#knownEntries;
  }

  start(): void {
    this.#telling = this.#options.timer.every(
      TELL_MILLISECONDS,
      () => this.#tell(),
    );
  }

  stop(): void {
    this.#telling?.cancel();
  }

  /** Takes the fleet's list; `addresses` are those of the others. */
  setPeers(addresses: readonly string[]): void {
    this.#addresses = addresses;
    this.#knownEntries = addresses.length + 1;
  }

  /** Tells peers of something that does not wait for the next report. */
  tell(method: string, params: unknown): void {
    this.#options.sendToPeers(this.#addresses, { method, params });
  }

  /** Takes a peer's notification; anything malformed is passed over. */
  take(params: unknown): void {
    if (!isWorkNotification(params)) return;
    if (params.entry === this.#options.process) return;
    this.#options.load.peerReported(params.entry, params);
    for (const prompt of params.prompts) {
      this.#options.prefixes.peerRead(prompt);
    }
  }

  #tell(): void {
    const { incarnation, load, prefixes, process, sendToPeers, timer } =
      this.#options;
    if (this.#addresses.length === 0) return;
    const work = load.report();
    const text = JSON.stringify(work);
    const now = timer.now();
    const isDue = now - this.#lastTold >= IDLE_TELL_MILLISECONDS;
    if (text === this.#lastText && !isDue) return;
    this.#lastText = text;
    this.#lastTold = now;
    this.#sequence += 1;
    const prompts = prefixes.takeUntold();
    const params: WorkNotification = {
      entry: process,
      incarnation,
      sequence: this.#sequence,
      work,
      prompts,
    };
    sendToPeers(this.#addresses, { method: WORK_METHOD, params });
  }
}

function isWorkNotification(value: unknown): value is WorkNotification {
  if (typeof value !== "object" || value === null) return false;
  const { entry, incarnation, sequence, work, prompts } = value as Record<
    string,
    unknown
  >;
  return typeof entry === "string" && typeof incarnation === "string" &&
    typeof sequence === "number" && Array.isArray(work) &&
    Array.isArray(prompts) && prompts.every(isReadPrompt) &&
    work.every((each) => Array.isArray(each) && each.length === 4);
}

function isReadPrompt(value: unknown): value is ReadPrompt {
  if (typeof value !== "object" || value === null) return false;
  const { engine, parts, memoryTokens } = value as Record<string, unknown>;
  return typeof engine === "string" && Array.isArray(parts) &&
    typeof memoryTokens === "number";
}
