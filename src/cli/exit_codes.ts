/** The program did what it was asked. */
export const EXIT_CODE_SUCCESS = 0;
/** It tried and failed; the log or the output says why. */
export const EXIT_CODE_FAILURE = 1;
/** Arguments, settings or other files can't be used. */
export const EXIT_CODE_BAD_SETTINGS = 2;
/** An address of the settings can't be listened on. */
export const EXIT_CODE_LISTEN_FAILED = 3;
/** Whether a publication took effect is not known; it may still do so. */
export const EXIT_CODE_OUTCOME_UNKNOWN = 4;
/** A publication is in force, and some processes have not told of it. */
export const EXIT_CODE_ROLLOUT_INCOMPLETE = 5;
