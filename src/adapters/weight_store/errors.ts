import { defineError } from "../../core/errors/mod.ts";

interface WeightStoreErrorValues {
  readonly model: string;
  readonly reason: string;
}

/** The store does not respond or reports that its rate limit is exhausted. */
export const WEIGHT_STORE_UNAVAILABLE = defineError<WeightStoreErrorValues>()({
  name: "weight_store_unavailable",
  title: "Weight store is unavailable",
  message: ({ model, reason }) =>
    `Cannot query the weight store for "${model}": ${reason}`,
  hint: "Try again later; engines keep their current weights",
});

/** The store has no such model. */
export const MODEL_UNKNOWN = defineError<{ model: string }>()({
  name: "model_unknown",
  title: "Weight store does not have the model",
  message: ({ model }) => `Weight store does not have model "${model}"`,
  hint: "Check the model's name in the inventory",
});
