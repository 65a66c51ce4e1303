/** The command succeeded. */
export const EXIT_CODE_SUCCESS = 0;
/** The command failed; the log or the output gives the reason. */
export const EXIT_CODE_FAILURE = 1;
/** Arguments, settings or other files are invalid. */
export const EXIT_CODE_INVALID_INPUT = 2;
/** An address in the settings cannot be bound. */
export const EXIT_CODE_LISTEN_FAILED = 3;
/** Whether the publication took effect is unknown; it may still do so. */
export const EXIT_CODE_OUTCOME_UNKNOWN = 4;
/** The publication is in force, but not confirmed by all processes. */
export const EXIT_CODE_ROLLOUT_INCOMPLETE = 5;
