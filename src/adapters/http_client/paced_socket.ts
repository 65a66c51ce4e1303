import { Agent, type AgentOptions } from "node:http";
import { Socket, type TcpNetConnectOpts } from "node:net";

/**
 * Bytes that are parsed at once. Chunks of one byte cost about 2 microseconds
 * each, thus 18 ms for a read of 64 KiB; a slice takes less than 1 ms.
 */
const SLICE_BYTES = 2 * 1024;
/** Time after which the rest of a read waits for a later turn. */
const SLICE_MILLISECONDS = 1;
/** Time in one turn of the event loop for all reads that wait. */
const TURN_MILLISECONDS = 4;

/**
 * Continues the reads that wait, for a bounded time in each turn of the event
 * loop. Many costly connections then share this time, and each takes its turn.
 */
class ReadQueue {
  readonly #waiting = new Set<PacedSocket>();
  #isScheduled = false;

  add(socket: PacedSocket): void {
    this.#waiting.add(socket);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#work());
  }

  #work(): void {
    this.#isScheduled = false;
    try {
      this.#continueReads();
    } finally {
      // A listener that throws would otherwise leave the others waiting.
      const [next] = this.#waiting;
      if (next !== undefined) this.add(next);
    }
  }

  #continueReads(): void {
    const end = performance.now() + TURN_MILLISECONDS;
    for (const socket of [...this.#waiting]) {
      if (performance.now() >= end) break;
      this.#waiting.delete(socket);
      socket.continueRead();
    }
  }
}

const readQueue = new ReadQueue();

/**
 * A connection whose bytes are parsed in slices: a read that takes long goes on
 * in later turns of the event loop, and nothing more is read meanwhile. Work of
 * one read is otherwise bounded by its bytes only, and a body of small chunks
 * keeps the event loop from all other connections.
 */
export class PacedSocket extends Socket {
  /** Bytes that were read and not yet parsed. */
  #rest: Buffer | undefined;
  /** True if the other side has ended behind the rest. */
  #isEnding = false;

  /** True if bytes wait that were read behind those parsed so far. */
  get hasUnparsedBytes(): boolean {
    return this.#rest !== undefined;
  }

  /** Called by the socket's handle with what it has read; null at the end. */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (this.#rest !== undefined) {
      if (chunk === null) this.#isEnding = true;
      else this.#rest = Buffer.concat([this.#rest, chunk]);
      return false;
    }
    if (chunk === null || chunk.length <= SLICE_BYTES) {
      return super.push(chunk, encoding);
    }
    return this.#pushSlices(chunk);
  }

  /** Reads nothing more while a read waits. */
  override _read(size: number): void {
    if (this.#rest === undefined) super._read(size);
  }

  override resume(): this {
    if (this.#rest !== undefined) readQueue.add(this);
    return super.resume();
  }

  /** Parses more of a read that waits. */
  continueRead(): void {
    const rest = this.#rest;
    if (this.destroyed) this.#rest = undefined;
    // `resume` continues a read that is paused.
    if (rest === undefined || this.destroyed || this.isPaused()) return;
    this.#rest = undefined;
    this.#pushSlices(rest);
    if (this.#rest !== undefined || this.destroyed) return;
    if (!this.#isEnding) return super._read(0);
    super.push(null);
    this.read(0);
  }

  /** False if a part of the bytes waits. Cheap bytes go in growing slices. */
  #pushSlices(bytes: Buffer): boolean {
    const end = performance.now() + SLICE_MILLISECONDS;
    let start = 0;
    for (let size = SLICE_BYTES; start < bytes.length; size *= 2) {
      const isLast = bytes.length - start <= size;
      const slice = bytes.subarray(start, start + size);
      start += slice.length;
      const mayContinue = super.push(slice);
      if (isLast) return mayContinue;
      if (this.destroyed) return false;
      // Node stops to listen at the end of an answer.
      const isUnread = this.listenerCount("data") === 0;
      if (isUnread || performance.now() >= end || this.isPaused()) break;
    }
    this.#rest = bytes.subarray(start);
    if (!this.isPaused()) readQueue.add(this);
    return false;
  }
}

/** Methods that Node's agent calls. */
interface AgentHooks {
  createConnection(options: TcpNetConnectOpts): Socket;
  keepSocketAlive(socket: Socket): boolean;
}
const AGENT_PROTOTYPE = Agent.prototype as unknown as AgentHooks;

/** An agent whose connections share the event loop with all others. */
export class PacedAgent extends Agent {
  constructor(options: AgentOptions = {}) {
    super(options);
    const hooks = this as unknown as AgentHooks;
    hooks.createConnection = openPaced;
    hooks.keepSocketAlive = (socket) =>
      !hasUnparsedBytes(socket) &&
      AGENT_PROTOTYPE.keepSocketAlive.call(this, socket);
  }
}

/**
 * True for a connection with bytes behind the end of an answer. They would be
 * taken for the answer to the next request.
 */
export function hasUnparsedBytes(socket: Socket): boolean {
  return socket instanceof PacedSocket && socket.hasUnparsedBytes;
}

/** Opens a connection as `net.connect` does. */
function openPaced(options: TcpNetConnectOpts): Socket {
  const socket = new PacedSocket(options);
  if (options.timeout !== undefined) socket.setTimeout(options.timeout);
  return socket.connect(options);
}
