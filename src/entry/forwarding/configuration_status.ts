import type { ProcessId } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";

export interface ConfigurationStatusOptions {
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Version in force here; undefined until there is one. */
  readonly version: () => number | undefined;
}

/** Tracks how current the configuration in force at this entry is. */
export class ConfigurationStatus {
  readonly #options: ConfigurationStatusOptions;
  #confirmedAt: number | undefined;
  #newestPeerVersion = -Infinity;
  /** When a version newer than the one in force was first known. */
  #behindSince: number | undefined;

  constructor(options: ConfigurationStatusOptions) {
    this.#options = options;
  }

  /** Newest version that this entry or a peer is known to have. */
  get newestVersion(): number | undefined {
    const version = Math.max(this.#ownVersion, this.#newestPeerVersion);
    return Number.isFinite(version) ? version : undefined;
  }

  /**
   * Time since the version in force was the store's newest one, in
   * milliseconds; undefined if it never was.
   */
  get ageMilliseconds(): number | undefined {
    if (this.#confirmedAt === undefined) return undefined;
    return this.#options.timer.now() - this.#confirmedAt;
  }

  /** How long a peer is known to have a newer version; 0 if none has. */
  get behindMilliseconds(): number {
    return this.#behindSince === undefined
      ? 0
      : this.#options.timer.now() - this.#behindSince;
  }

  /** Records that the store's newest version is in force here. */
  onConfirmed(): void {
    this.#confirmedAt = this.#options.timer.now();
  }

  /** Records the version that a peer has in force. */
  onPeerVersion(peer: ProcessId, version: number): void {
    if (version > this.#newestPeerVersion) this.#newestPeerVersion = version;
    if (version <= this.#ownVersion || this.#behindSince !== undefined) return;
    this.#behindSince = this.#options.timer.now();
    this.#options.logger.info({
      peer,
      version,
      ownVersion: this.#options.version(),
      ageMilliseconds: this.ageMilliseconds,
    }, "A peer has a newer configuration");
  }

  /** Records that another version has come into force here. */
  onApplied(): void {
    const isBehind = this.#newestPeerVersion > this.#ownVersion;
    this.#behindSince = isBehind ? this.#options.timer.now() : undefined;
  }

  get #ownVersion(): number {
    return this.#options.version() ?? -Infinity;
  }
}
