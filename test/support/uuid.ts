/** Keys with their time in them, as callers send them. */
export { v7 as uuidv7 } from "uuid";
