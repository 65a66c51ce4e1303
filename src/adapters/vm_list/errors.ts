import { defineError } from "../../core/errors/mod.ts";

/** The list cannot be read; the previous one stays in use. */
export const VM_LIST_UNAVAILABLE = defineError<{ reason: string }>()({
  name: "vm_list_unavailable",
  title: "VM list cannot be read",
  message: ({ reason }) => `Cannot read the VM list: ${reason}`,
  hint: "The system continues with the addresses of the previous list",
});
