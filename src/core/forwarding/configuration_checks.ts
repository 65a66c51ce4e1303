import {
  isBoolean,
  isId,
  isListOf,
  isNumber,
  isObjectOf,
  isOneOf,
  isOptional,
  isText,
} from "../validation/mod.ts";
import type { KeyDigest } from "../identity/mod.ts";
import type { WorkspaceKeys } from "./callers/key_directory.ts";
import type {
  CallerLimits,
  EngineLimits,
  Pool,
  PoolShare,
  Route,
} from "./configuration.ts";

/** Checks for a route as entries send it to each other. */
export const isRoute = isObjectOf<Route>({
  name: isText,
  host: isText,
  pathPrefix: isText,
  isPublic: isOptional(isBoolean),
  repeat: isOneOf(["idempotent", "once", "stream"]),
  resumable: isBoolean,
  timeoutMilliseconds: isNumber,
  targetMilliseconds: isNumber,
  patienceMilliseconds: isOptional(isNumber),
  maxPauseMilliseconds: isOptional(isNumber),
  rank: isNumber,
  mostAttempts: isNumber,
  shares: isListOf(isObjectOf<PoolShare>({ pool: isId, weight: isNumber })),
});

/** Checks for a pool as entries send it to each other. */
export const isPool = isObjectOf<Pool>({
  name: isId,
  mostConnections: isNumber,
  healthPath: isOptional(isText),
  engine: isOptional(isObjectOf<EngineLimits>({
    memoryTokens: isNumber,
    cacheTokenBytes: isNumber,
    linkMegabitsPerSecond: isNumber,
  })),
});

export const isCallerLimits = isObjectOf<CallerLimits>({
  mostHeaderBytes: isNumber,
  mostBodyBytes: isNumber,
  headerMilliseconds: isNumber,
  idleMilliseconds: isNumber,
});

export const isWorkspaceKeys = isObjectOf<WorkspaceKeys>({
  id: isId,
  rank: isOptional(isNumber),
  keys: isListOf(isId<KeyDigest>),
});
