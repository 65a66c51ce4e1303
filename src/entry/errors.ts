import { defineError } from "../core/errors/mod.ts";

export const UNKNOWN_MODEL = defineError<{ model: string }>()({
  name: "unknown_model",
  title: "Model not served here",
  message: (values) => `No pool of the inventory serves "${values.model}"`,
  hint:
    "Ask for a model that GET /v1/models lists, or publish an inventory that has it",
});

export const UNKNOWN_ROUTE = defineError<{
  method: string;
  path: string;
}>()({
  name: "unknown_route",
  title: "No service for this route",
  message: (values) => `No pool serves ${values.method} ${values.path}`,
  hint: "Check the routes of the plain services in the inventory",
});

export const VM_LIST_NOT_CONFIGURED = defineError<Record<never, never>>()({
  name: "vm_list_unavailable",
  title: "No VM list",
  message: () => "The settings contain no VM list",
  hint:
    "Set platform.vmList, or keep addresses current in settings and inventory",
});
