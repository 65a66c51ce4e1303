import { identifier, type ProcessId } from "../../core/identity/mod.ts";
import type { ConfigurationStatus } from "./configuration_status.ts";

/** Notification of the configuration that is in force at an entry. */
export const CONFIGURATION_METHOD = "entry.configuration";

interface ConfigurationNotification {
  readonly entry: string;
  readonly version: number;
  /** True if the sender has just read that the store has no newer version. */
  readonly isCurrent: boolean;
}

export interface ConfigurationSyncOptions {
  readonly process: string;
  readonly status: ConfigurationStatus;
  /** Version in force here; undefined until there is one. */
  readonly version: () => number | undefined;
  readonly broadcast: (method: string, params: unknown) => void;
  /** Called when the version in force here is known to be current. */
  readonly onConfirmed: () => void;
}

/** Exchanges with the peers which configuration is in force. */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
  }

  /** Records that this entry has read the store's newest version. */
  onStoreRead(): void {
    this.#options.status.onConfirmed();
    this.#options.onConfirmed();
  }

  /**
   * Tells the peers that the version in force here is current, so that one
   * entry checks on behalf of all.
   */
  announceCurrent(): void {
    const version = this.#options.version();
    if (version === undefined) return;
    const notification: ConfigurationNotification = {
      entry: this.#options.process,
      version,
      isCurrent: true,
    };
    this.#options.broadcast(CONFIGURATION_METHOD, notification);
  }

  /** Applies a peer's notification; ignores malformed ones. */
  onNotification(params: unknown): void {
    if (!isConfigurationNotification(params)) return;
    const { entry, isCurrent, version } = params;
    this.onPeerVersion(identifier<ProcessId>(entry), version);
    if (isCurrent && version === this.#options.version()) this.onStoreRead();
  }

  /** Records the version that a peer has in force. */
  onPeerVersion(peer: ProcessId, version: number): void {
    this.#options.status.onPeerVersion(peer, version);
  }
}

function isConfigurationNotification(
  value: unknown,
): value is ConfigurationNotification {
  if (typeof value !== "object" || value === null) return false;
  const { entry, isCurrent, version } = value as Partial<
    ConfigurationNotification
  >;
  return typeof entry === "string" && typeof version === "number" &&
    typeof isCurrent === "boolean";
}
