import type { EngineTarget } from "../../generated/log_records.ts";
import type { EngineObservation } from "../links/mod.ts";

/** Whether the engine is in the target state with no change in progress. */
export function isTargetReached(
  observation: EngineObservation,
  target: EngineTarget,
): boolean {
  return !observation.changing && hasTargetState(observation, target);
}

function hasTargetState(
  observation: EngineObservation,
  target: EngineTarget,
): boolean {
  if (observation.role !== target.role) return false;
  return !needsLoading(observation, target);
}

/** Whether the target requires weights that the engine has not loaded. */
export function needsLoading(
  observation: EngineObservation,
  target: EngineTarget,
): boolean {
  const loaded = new Set(observation.models);
  const models = target.models ?? [];
  if (models.some((model) => !loaded.has(model))) return true;
  return target.weights !== undefined &&
    target.weights !== observation.weights;
}

/** Whether two targets describe the same state. */
export function isSameTarget(one: EngineTarget, other: EngineTarget): boolean {
  return one.role === other.role && one.weights === other.weights &&
    JSON.stringify([...one.models ?? []].sort()) ===
      JSON.stringify([...other.models ?? []].sort());
}

/** Target as JSON with its keys in a fixed order, for events. */
export function serializeTarget(
  { role, models, weights }: EngineTarget,
): string {
  return JSON.stringify({ role, models, weights });
}
