import { defineError } from "../../core/errors/mod.ts";

/** The list can't be read; what was read before stays in use. */
export const VM_LIST_UNAVAILABLE = defineError<{ reason: string }>()({
  name: "vm_list_unavailable",
  title: "List of VMs cannot be read",
  message: ({ reason }) => `Cannot read the list of VMs: ${reason}`,
  hint: "The system goes on with the addresses that it knows",
});
