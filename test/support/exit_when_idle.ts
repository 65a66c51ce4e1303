/** Loaded by mocha: ends its process once nothing is left to wait for. */
import process from "node:process";

// Node.js may spin for good in the cleanup of handles behind a natural end. What
// still waits keeps the process as before, so open handles are still noticed.
process.once("beforeExit", () => process.exit());
