import type { KeyDigest, WorkspaceId } from "../../identity/mod.ts";

/** A customer's workspace. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Rank of its requests in place of their route's; 0 is the most urgent. */
  readonly rank?: number;
}

/** A workspace and the digests of the keys that its callers may use. */
export interface WorkspaceKeys extends Workspace {
  readonly keys: readonly KeyDigest[];
}

/** Finds the workspace that a caller's key belongs to. */
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
