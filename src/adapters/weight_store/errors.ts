import { defineError } from "../../core/errors/mod.ts";

interface WeightStoreErrorValues {
  readonly model: string;
  readonly reason: string;
}

/** The store does not answer or says that its rate is used up. */
export const WEIGHT_STORE_UNAVAILABLE = defineError<WeightStoreErrorValues>()({
  name: "weight_store_unavailable",
  title: "Weight store cannot be asked",
  message: ({ model, reason }) =>
    `Cannot ask the weight store about "${model}": ${reason}`,
  hint: "Try again later; engines keep the weights that they have",
});

/** The store has no such model. */
export const MODEL_UNKNOWN = defineError<{ model: string }>()({
  name: "model_unknown",
  title: "Weight store does not have the model",
  message: ({ model }) => `Weight store does not have model "${model}"`,
  hint: "Check the model's name in the inventory",
});
