/** Time-ordered UUIDs, as callers use them for idempotency keys. */
export { v7 as uuidv7 } from "uuid";
