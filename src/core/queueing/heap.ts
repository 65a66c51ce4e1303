/** A binary heap that is ordered by a comparison function. */
export class Heap<Item> {
  readonly #items: Item[] = [];
  readonly #isBefore: (left: Item, right: Item) => boolean;

  constructor(isBefore: (left: Item, right: Item) => boolean) {
    this.#isBefore = isBefore;
  }

  get size(): number {
    return this.#items.length;
  }

  peek(): Item | undefined {
    return this.#items[0];
  }

  push(item: Item): void {
    const items = this.#items;
    let index = items.push(item) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(items[index], items[parent])) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  pop(): Item | undefined {
    const items = this.#items;
    const first = items[0];
    const last = items.pop();
    if (items.length === 0 || last === undefined) return first;
    items[0] = last;
    this.#siftDown(0);
    return first;
  }

  #siftDown(start: number): void {
    const items = this.#items;
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      let first = index;
      for (const child of [left, left + 1]) {
        if (
          child < items.length && this.#isBefore(items[child], items[first])
        ) {
          first = child;
        }
      }
      if (first === index) return;
      this.#swap(index, first);
      index = first;
    }
  }

  #swap(left: number, right: number): void {
    const previous = this.#items[left];
    this.#items[left] = this.#items[right];
    this.#items[right] = previous;
  }
}
