import type { ServiceName, SoftwareVersion } from "../../identity/mod.ts";

/** A software version that serves a pool. */
export interface ServingVersion {
  readonly pool: ServiceName;
  readonly softwareVersion: SoftwareVersion;
}

/**
 * Software versions that are listed as serving a pool. A version is listed
 * before its replicas begin streams, and for as long as such streams may be
 * taken up; if it is the only one, it has begun every stream of the pool.
 */
export class ListedVersions {
  readonly #byPool = new Map<ServiceName, Set<SoftwareVersion>>();
  #isComplete = false;

  /** All versions in the list. */
  get all(): ServingVersion[] {
    return [...this.#byPool].flatMap(([pool, versions]) =>
      [...versions].map((softwareVersion) => ({ pool, softwareVersion }))
    );
  }

  /** True once the whole list is known. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  has({ pool, softwareVersion }: ServingVersion): boolean {
    return this.#byPool.get(pool)?.has(softwareVersion) === true;
  }

  /** Versions of the pool. */
  of(pool: ServiceName): ReadonlySet<SoftwareVersion> {
    return this.#byPool.get(pool) ?? new Set();
  }

  add({ pool, softwareVersion }: ServingVersion): void {
    const versions = this.#byPool.get(pool);
    if (versions !== undefined) versions.add(softwareVersion);
    else this.#byPool.set(pool, new Set([softwareVersion]));
  }

  remove({ pool, softwareVersion }: ServingVersion): void {
    this.#byPool.get(pool)?.delete(softwareVersion);
  }

  /** Adds the whole list, as it was read from the store or a peer. */
  addAll(versions: readonly ServingVersion[]): void {
    for (const each of versions) this.add(each);
    this.#isComplete = true;
  }
}
