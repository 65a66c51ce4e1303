/**
 * Positions in the store's logs. A store that is restored from an older copy
 * reuses offsets under a higher epoch. A position contains both, so that
 * positions, and the fencing tokens derived from them, increase monotonically.
 */

/** Offsets per epoch; epochs up to 2,000,000 fit a safe integer. */
const OFFSETS_PER_EPOCH = 2 ** 32;

/** Location of a record: the epoch of the store, and the offset in it. */
export interface LogLocation {
  readonly epoch: number;
  readonly offset: number;
}

export function encodePosition({ epoch, offset }: LogLocation): number {
  return epoch * OFFSETS_PER_EPOCH + offset;
}

export function decodePosition(position: number): LogLocation {
  return {
    epoch: Math.floor(position / OFFSETS_PER_EPOCH),
    offset: position % OFFSETS_PER_EPOCH,
  };
}
