/**
 * Positions in the store's logs. A store that is restored from an older copy
 * gives offsets out again, under a higher epoch; a position holds both, so that
 * positions, and the fencing tokens that are made of them, only rise.
 */

/** Offsets of one epoch; epochs up to 2,000,000 fit a whole number. */
const OFFSETS_PER_EPOCH = 2 ** 32;

/** Where a record stands: the epoch of the store, and the offset in it. */
export interface LogPlace {
  readonly epoch: number;
  readonly offset: number;
}

export function positionOf({ epoch, offset }: LogPlace): number {
  return epoch * OFFSETS_PER_EPOCH + offset;
}

export function placeOf(position: number): LogPlace {
  return {
    epoch: Math.floor(position / OFFSETS_PER_EPOCH),
    offset: position % OFFSETS_PER_EPOCH,
  };
}
