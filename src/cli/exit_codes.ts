/** The program did what it was asked. */
export const EXIT_CODE_SUCCESS = 0;
/** It tried and failed; the log or the output says why. */
export const EXIT_CODE_FAILURE = 1;
/** An address of the settings can't be listened on. */
export const EXIT_CODE_CANNOT_LISTEN = 3;
