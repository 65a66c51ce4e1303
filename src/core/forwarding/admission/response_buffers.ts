/** Share of the budget that one response may take. */
const MAX_RESPONSE_SHARE = 0.25;

/** A response whose bytes wait for its caller to read them. */
export interface BufferedResponse {
  /** Stops reading from the endpoint until the caller has read the bytes. */
  pause(): void;
}

/**
 * Memory for responses that callers read more slowly than endpoints send them.
 * An endpoint cuts off a response that stays unread for some seconds, and keeps
 * a slot for it meanwhile; a response that fits the buffers is read to its end.
 *
 * When the budget is used up, the response with the most buffered bytes is
 * paused: it is the slowest or the longest, and the others keep their room.
 */
export class ResponseBuffers {
  readonly #budgetBytes: number;
  readonly #buffered = new Map<BufferedResponse, number>();
  readonly #paused = new Set<BufferedResponse>();
  #totalBytes = 0;

  /** With a budget of 0, every response is paused as soon as it is buffered. */
  constructor(budgetBytes: number) {
    this.#budgetBytes = budgetBytes;
  }

  /** Bytes that are buffered for all callers. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Records how many bytes of the response are buffered now. */
  update(response: BufferedResponse, bytes: number): void {
    this.#totalBytes += bytes - (this.#buffered.get(response) ?? 0);
    this.#buffered.set(response, bytes);
    const isTooLarge = bytes > MAX_RESPONSE_SHARE * this.#budgetBytes;
    if (isTooLarge || this.#paused.has(response)) this.#pause(response);
    while (this.#totalBytes > this.#budgetBytes) {
      const largest = this.#largestUnpaused();
      if (largest === undefined) return;
      this.#pause(largest);
    }
  }

  /** Records that the caller has read all bytes so far. */
  drained(response: BufferedResponse): void {
    this.#totalBytes -= this.#buffered.get(response) ?? 0;
    this.#buffered.delete(response);
    this.#paused.delete(response);
  }

  #pause(response: BufferedResponse): void {
    this.#paused.add(response);
    response.pause();
  }

  #largestUnpaused(): BufferedResponse | undefined {
    let largest: BufferedResponse | undefined;
    let mostBytes = 0;
    for (const [response, bytes] of this.#buffered) {
      if (this.#paused.has(response) || bytes <= mostBytes) continue;
      largest = response;
      mostBytes = bytes;
    }
    return largest;
  }
}
