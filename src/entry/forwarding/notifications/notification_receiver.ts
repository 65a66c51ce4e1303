import { stackOf } from "../../../core/errors/mod.ts";
import type { Logger } from "../../../core/observation/mod.ts";
import { jsonTextOf } from "../../../core/validation/mod.ts";
import {
  NOTIFICATION_CHECKS,
  type NotificationMethod,
  type NotificationParams,
} from "./notifications.ts";

/** What each notification is applied by. */
export type NotificationHandlers = {
  readonly [Method in NotificationMethod]: (
    params: NotificationParams[Method],
  ) => void;
};

/**
 * Why a notification had no effect. `unreadable`: it is not JSON, or has no
 * method. `unknown_method`: a later version may know it. `invalid`: its
 * parameters lack a field or have one of another type. `faulted`: the handler
 * has thrown.
 */
export type DropReason =
  | "unreadable"
  | "unknown_method"
  | "invalid"
  | "faulted";

export interface DroppedNotification {
  /** Absent if the notification has no method that is known here. */
  readonly method?: NotificationMethod;
  readonly reason: DropReason;
  /** Name of the peer at the address; `unlisted` if there is none. */
  readonly sender: string;
}

export interface NotificationReceiverOptions {
  readonly handlers: NotificationHandlers;
  /** Name of the peer at an address; undefined if there is none. */
  readonly peerAt: (address: string) => string | undefined;
  readonly logger: Logger;
  /** Called for each notification without effect. */
  readonly onDropped: (dropped: DroppedNotification) => void;
}

/** Sender of a notification that no peer in the list of the fleet has sent. */
const UNLISTED = "unlisted";
/** Number of kinds of dropped notifications that get a log line each. */
const MAX_LOGGED_KINDS = 256;
/** Length to which the parameters in a log line are cut. */
const MAX_LOGGED_CHARACTERS = 300;

/**
 * Decodes the notifications of peers, whole and before any effect, and passes
 * them to their handlers. Peers of other software versions and other processes
 * may send anything: what can't be decoded is dropped, counted, and logged once
 * for each kind and sender. A handler that throws ends its notification only.
 */
export class NotificationReceiver {
  readonly #options: NotificationReceiverOptions;
  readonly #loggedKinds = new Set<string>();

  constructor(options: NotificationReceiverOptions) {
    this.#options = options;
  }

  /** Applies a notification from an address, `host:port`. */
  receive(
    method: string,
    params: unknown,
    { from }: { readonly from: string },
  ): void {
    if (!isKnown(method)) {
      return this.#drop({ reason: "unknown_method", from }, { method });
    }
    if (!NOTIFICATION_CHECKS[method](params)) {
      return this.#drop({ method, reason: "invalid", from }, {
        params: jsonTextOf(params).slice(0, MAX_LOGGED_CHARACTERS),
      });
    }
    try {
      // The check above has shown the type that belongs to the method.
      this.#options.handlers[method](params as never);
    } catch (cause) {
      this.#options.logger.error(
        { method, from, problem: stackOf(cause) },
        "The handling of a peer's notification has thrown",
      );
      this.#drop({ method, reason: "faulted", from }, {});
    }
  }

  /** Records a datagram that is no notification. */
  receiveUnreadable(bytes: number, from: string): void {
    this.#drop({ reason: "unreadable", from }, { bytes });
  }

  #drop(
    { from, method, reason }: {
      readonly method?: NotificationMethod;
      readonly reason: DropReason;
      readonly from: string;
    },
    facts: Readonly<Record<string, unknown>>,
  ): void {
    const { logger, onDropped, peerAt } = this.#options;
    const sender = peerAt(from) ?? UNLISTED;
    onDropped({ method, reason, sender });
    const kind = JSON.stringify([method, reason, sender]);
    const isLogged = this.#loggedKinds.has(kind) ||
      this.#loggedKinds.size >= MAX_LOGGED_KINDS;
    if (isLogged) return;
    this.#loggedKinds.add(kind);
    logger.warn(
      { method, reason, sender, from, ...facts },
      "Dropped a notification; further ones of this kind are only counted",
    );
  }
}

function isKnown(method: string): method is NotificationMethod {
  return Object.hasOwn(NOTIFICATION_CHECKS, method);
}
