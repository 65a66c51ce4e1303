import type { Socket } from "node:net";

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
  readonly #waiting = new Set<ReadPacer>();
  #isScheduled = false;

  add(pacer: ReadPacer): void {
    this.#waiting.add(pacer);
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
    for (const pacer of [...this.#waiting]) {
      if (performance.now() >= end) break;
      this.#waiting.delete(pacer);
      pacer.continueRead();
    }
  }
}

const readQueue = new ReadQueue();

const pacers = new WeakMap<Socket, ReadPacer>();

/**
 * Parses what the connection reads in slices: a read that takes long goes on in
 * later turns of the event loop, and nothing more is read meanwhile. Work of one
 * read is otherwise bounded by its bytes only, and a body of small chunks keeps
 * the event loop from all other connections.
 */
export function paceReads(socket: Socket): void {
  pacers.set(socket, new ReadPacer(socket));
}

/** True for a paced connection with bytes behind those parsed so far. */
export function hasUnparsedBytes(socket: Socket): boolean {
  return pacers.get(socket)?.hasUnparsedBytes ?? false;
}

/** Takes the place of the methods with which a socket is read. */
class ReadPacer {
  readonly #socket: Socket;
  readonly #push: Socket["push"];
  readonly #read: Socket["_read"];
  /** Bytes that were read and not yet parsed. */
  #rest: Buffer | undefined;
  /** True if the other side has ended behind the rest. */
  #isEnding = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    this.#push = socket.push.bind(socket);
    this.#read = socket._read.bind(socket);
    const resume = socket.resume.bind(socket);
    socket.push = (chunk, encoding) => this.#receive(chunk, encoding);
    socket._read = (size) => {
      // Reads nothing more while a read waits.
      if (this.#rest === undefined) this.#read(size);
    };
    socket.resume = () => {
      if (this.#rest !== undefined) readQueue.add(this);
      return resume();
    };
  }

  get hasUnparsedBytes(): boolean {
    return this.#rest !== undefined;
  }

  /** Called by the socket's handle with what it has read; null at the end. */
  #receive(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (this.#rest !== undefined) {
      if (chunk === null) this.#isEnding = true;
      else this.#rest = Buffer.concat([this.#rest, chunk]);
      return false;
    }
    if (chunk === null || chunk.length <= SLICE_BYTES) {
      return this.#push(chunk, encoding);
    }
    return this.#pushSlices(chunk);
  }

  /** Parses more of a read that waits. */
  continueRead(): void {
    const socket = this.#socket;
    const rest = this.#rest;
    if (socket.destroyed) this.#rest = undefined;
    // `resume` continues a read that is paused.
    if (rest === undefined || socket.destroyed || socket.isPaused()) return;
    this.#rest = undefined;
    let isPushed = false;
    try {
      this.#pushSlices(rest);
      isPushed = true;
    } finally {
      // Behind a listener that throws, the rest is lost and nothing is read.
      if (!isPushed) socket.destroy();
    }
    if (this.#rest !== undefined || socket.destroyed) return;
    if (!this.#isEnding) return this.#read(0);
    this.#push(null);
    socket.read(0);
  }

  /** False if a part of the bytes waits. Cheap bytes go in growing slices. */
  #pushSlices(bytes: Buffer): boolean {
    const socket = this.#socket;
    const end = performance.now() + SLICE_MILLISECONDS;
    let start = 0;
    for (let size = SLICE_BYTES; start < bytes.length; size *= 2) {
      const isLast = bytes.length - start <= size;
      const slice = bytes.subarray(start, start + size);
      start += slice.length;
      const mayContinue = this.#push(slice);
      if (isLast) return mayContinue;
      if (socket.destroyed) return false;
      // Node stops to listen at the end of an answer.
      const isUnread = socket.listenerCount("data") === 0;
      if (isUnread || performance.now() >= end || socket.isPaused()) break;
    }
    this.#rest = bytes.subarray(start);
    if (!socket.isPaused()) readQueue.add(this);
    return false;
  }
}
