import * as http from "node:http";
import { JSONRPCClient } from "json-rpc-2.0";
import type { JSONRPCRequest, JSONRPCResponse } from "json-rpc-2.0";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { failure } from "../../core/errors/mod.ts";
import type {
  AttemptCall,
  EntryLink,
  LinkFailure,
  PeerAddress,
  SideLink,
  StreamSnapshot,
} from "../../core/links/mod.ts";
import type {
  AttemptFrame,
  AttemptRequest,
  EntryStatus,
  OnceAnswer,
  OnceQuestion,
  SideReport,
  StatusQuestion,
  WatchAnswer,
  WatchQuestion,
} from "../../generated/messages.ts";
import type { TimerService } from "../../core/time/mod.ts";
import { isNumber, isObject, isObjectOf } from "../../core/validation/mod.ts";
import { limitIdleTime, trackConnected } from "../http_client/mod.ts";
import { SystemTimerService } from "../time/mod.ts";
import { LINK_LOST, LINK_NOT_SENT } from "./errors.ts";
import { FrameLineReader } from "./frame_line_reader.ts";
import { ATTEMPT_PATH, PEER_METHODS, RPC_PATH } from "./protocol.ts";

/** Response timeout of a call, without its long-poll wait. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;
/**
 * Maximum idle connections per peer; a few handle hundreds of calls a second.
 */
const MAX_IDLE_CONNECTIONS = 32;

const isStreamSnapshot = isObjectOf<StreamSnapshot>({
  upTo: isNumber,
  state: isObject,
});

/** Carries a link failure through the JSON-RPC client; caught in `#call`. */
class LinkError extends Error {
  readonly link: LinkFailure;

  constructor(link: LinkFailure) {
    super(link.message);
    this.link = link;
  }
}

/** Calls sides and entries over keep-alive HTTP connections. */
export class HttpPeerClient implements SideLink, EntryLink {
  readonly #agent = limitIdleTime(
    new http.Agent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: "lifo",
    }),
  );
  readonly #clients = new Map<PeerAddress, JSONRPCClient<number>>();
  readonly #timer: TimerService;

  constructor(timer: TimerService = new SystemTimerService()) {
    this.#timer = timer;
  }

  report(side: PeerAddress): Promise<Result<SideReport, LinkFailure>> {
    return this.#call(side, { method: PEER_METHODS.report, parameters: {} });
  }

  ask(
    side: PeerAddress,
    question: OnceQuestion,
  ): Promise<Result<OnceAnswer, LinkFailure>> {
    return this.#call(side, {
      method: PEER_METHODS.ask,
      parameters: question,
    });
  }

  watch(
    entry: PeerAddress,
    question: WatchQuestion,
  ): Promise<Result<WatchAnswer, LinkFailure>> {
    return this.#call(entry, {
      method: PEER_METHODS.watch,
      parameters: question,
      extraMilliseconds: question.waitMilliseconds,
    });
  }

  status(
    entry: PeerAddress,
    question: StatusQuestion = {},
  ): Promise<Result<EntryStatus, LinkFailure>> {
    return this.#call(entry, {
      method: PEER_METHODS.status,
      parameters: question,
    });
  }

  async snapshot(
    entry: PeerAddress,
    stream: string,
  ): Promise<Result<StreamSnapshot, LinkFailure>> {
    const answer = await this.#call<unknown>(entry, {
      method: PEER_METHODS.snapshot,
      parameters: { stream },
    });
    if (answer.isErr()) return err(answer.error);
    if (isStreamSnapshot(answer.value)) return ok(answer.value);
    const detail = "the answer is no snapshot";
    return err(failure(LINK_LOST, { address: entry, detail }));
  }

  run(
    side: PeerAddress,
    attempt: AttemptRequest,
    onFrame: (frame: AttemptFrame) => void,
  ): AttemptCall {
    return startAttempt(attempt, { side, onFrame, agent: this.#agent });
  }

  /** Closes all connections to peers. */
  close(): void {
    this.#agent.destroy();
  }

  async #call<Answer>(
    address: PeerAddress,
    call: { method: string; parameters: object; extraMilliseconds?: number },
  ): Promise<Result<Answer, LinkFailure>> {
    const timeout = CALL_TIMEOUT_MILLISECONDS +
      (call.extraMilliseconds ?? 0);
    try {
      return ok(
        await this.#client(address).request(
          call.method,
          call.parameters,
          timeout,
        ),
      );
    } catch (error) {
      if (error instanceof LinkError) return err(error.link);
      return err(failure(LINK_LOST, { address, detail: String(error) }));
    }
  }

  #client(address: PeerAddress): JSONRPCClient<number> {
    const existing = this.#clients.get(address);
    if (existing !== undefined) return existing;
    const client: JSONRPCClient<number> = new JSONRPCClient(
      async (request: JSONRPCRequest, timeoutMilliseconds: number) => {
        const text = await post(address, {
          path: RPC_PATH,
          body: JSON.stringify(request),
          agent: this.#agent,
          timer: this.#timer,
          timeoutMilliseconds,
        });
        const answer: unknown = JSON.parse(text);
        // The client would wait for ever for the answer to another call.
        if (!isObject(answer) || answer.id !== request.id) {
          throw new Error("The answer is not one to this call");
        }
        client.receive(answer as unknown as JSONRPCResponse);
      },
    );
    this.#clients.set(address, client);
    return client;
  }
}

interface PostOptions {
  readonly path: string;
  readonly body: string;
  readonly agent: http.Agent;
  readonly timer: TimerService;
  readonly timeoutMilliseconds: number;
}

function openPost(
  address: PeerAddress,
  options: Pick<PostOptions, "agent" | "body" | "path">,
): http.ClientRequest {
  const separator = address.lastIndexOf(":");
  return http.request({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    method: "POST",
    path: options.path,
    agent: options.agent,
    headers: {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(options.body),
    },
  });
}

function post(address: PeerAddress, options: PostOptions): Promise<string> {
  return new Promise((resolve, reject) => {
    const { timeoutMilliseconds, timer } = options;
    const request = openPost(address, options);
    // Node's own timeout starts only once the socket is connected.
    const timeout = timer.after(timeoutMilliseconds, () => {
      const reason = `no response within ${timeoutMilliseconds} ms`;
      request.destroy(new Error(reason));
    });
    request.on("close", () => timeout.cancel());
    const wasConnected = trackConnected(request);
    const onError = (error: Error) => {
      const isConnected = wasConnected();
      reject(new LinkError(toLinkFailure(address, { error, isConnected })));
    };
    request.on("error", onError);
    request.on("response", (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (chunk: string) => text += chunk);
      response.on("error", onError);
      response.on("end", () => resolve(text));
    });
    request.end(options.body);
  });
}

/**
 * A connection that was refused before it was established proves that nothing
 * was sent. Any other error may occur after the peer has read the message: the
 * system reports an unreachable host on established connections too.
 */
function toLinkFailure(
  address: PeerAddress,
  { error, isConnected }: {
    readonly error: Error;
    readonly isConnected: boolean;
  },
): LinkFailure {
  const code = (error as NodeJS.ErrnoException).code;
  const values = { address, detail: error.message };
  const isRefused = code === "ECONNREFUSED" || code === "EHOSTUNREACH";
  return !isConnected && isRefused
    ? failure(LINK_NOT_SENT, values)
    : failure(LINK_LOST, values);
}

function startAttempt(
  attempt: AttemptRequest,
  options: {
    readonly side: PeerAddress;
    readonly onFrame: (frame: AttemptFrame) => void;
    readonly agent: http.Agent;
  },
): AttemptCall {
  const { side, onFrame, agent } = options;
  const body = JSON.stringify(attempt);
  const request = openPost(side, { path: ATTEMPT_PATH, body, agent });
  const wasConnected = trackConnected(request);
  let response: http.IncomingMessage | undefined;
  const closed = new Promise<Result<void, LinkFailure>>((resolve) => {
    const onError = (error: Error) => {
      const isConnected = wasConnected();
      resolve(err(toLinkFailure(side, { error, isConnected })));
    };
    request.on("error", onError);
    request.on("close", () => resolve(ok(undefined)));
    request.on("response", (incomingMessage) => {
      response = incomingMessage;
      const reader = new FrameLineReader(onFrame);
      incomingMessage.setEncoding("utf8");
      incomingMessage.on("data", (text: string) => {
        try {
          reader.push(text);
        } catch (error) {
          request.destroy(error as Error);
        }
      });
      incomingMessage.on("error", onError);
      incomingMessage.on("end", () => resolve(ok(undefined)));
    });
  });
  request.end(body);
  return {
    closed,
    cancel: () => void request.destroy(),
    pause: () => void response?.pause(),
    resume: () => void response?.resume(),
  };
}
