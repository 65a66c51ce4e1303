import type { KeyDigest, WorkspaceId } from "../../identity/mod.ts";

/** A customer's workspace. */
export interface Workspace {
  readonly id: WorkspaceId;
  /**
   * Rank of its requests, which overrides that of the route; 0 is the most
   * urgent.
   */
  readonly rank?: number;
}

/** A workspace and the digests of its callers' keys. */
export interface WorkspaceKeys extends Workspace {
  readonly keys: readonly KeyDigest[];
}

/** Finds the workspace of a caller's key. */
export class KeyDirectory {
  readonly #byKey = new Map<KeyDigest, Workspace>();

  constructor(workspaces: readonly WorkspaceKeys[]) {
    for (const { keys, ...workspace } of workspaces) {
      for (const key of keys) this.#byKey.set(key, workspace);
    }
  }

  find(key: KeyDigest): Workspace | undefined {
    return this.#byKey.get(key);
  }
}
