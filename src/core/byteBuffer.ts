export const PAGE_BYTES_MIN = 1024
export const PAGE_BYTES_MAX = 64 * 1024
/** Pages that are kept for the next body, so that large bodies leave less garbage behind. */
const SPARE_PAGES_MAX = 128

/** Collects the pieces of a body in compact memory, however small they are. */
export interface ByteBuffer {
  /** Copies a piece, and returns the bytes of memory that this has added. */
  add (piece: Uint8Array): number
  /** Bytes of the body so far. */
  readonly length: number
  /** Memory that the body occupies. */
  readonly occupiedBytes: number
  /** Copies the body into one piece. */
  join (): Buffer
  /** Hands the body over in few parts, without a copy; the buffer is empty afterwards. */
  takeParts (): Buffer[]
  /** Gives the memory back. */
  clear (): void
}

const sparePages: Buffer[] = []

const takePage = (bytes: number): Buffer => (bytes === PAGE_BYTES_MAX ? sparePages.pop() : undefined) ?? Buffer.allocUnsafeSlow(bytes)

/**
 * Creates an empty buffer. Its pages grow with the body, so that a small one occupies little. A piece is copied, as it may keep
 * the whole read buffer that it lies in.
 *
 * @example
 * const body = createByteBuffer()
 * body.add(piece)
 * const bytes = body.join()
 */
export const createByteBuffer = (): ByteBuffer => {
  let pages: Buffer[] = []
  let lastUsed = 0
  let length = 0
  let occupiedBytes = 0

  const addPage = () => {
    const bytes = Math.min(PAGE_BYTES_MAX, Math.max(PAGE_BYTES_MIN, occupiedBytes))
    pages.push(takePage(bytes))
    lastUsed = 0
    occupiedBytes += bytes
  }

  const reset = () => {
    pages = []
    lastUsed = 0
    length = 0
    occupiedBytes = 0
  }

  return {
    add: piece => {
      const before = occupiedBytes
      for (let at = 0; at < piece.length;) {
        if (pages.length === 0 || lastUsed === pages.at(-1)!.length) addPage()
        const page = pages.at(-1)!
        const part = piece.subarray(at, at + page.length - lastUsed)
        page.set(part, lastUsed)
        lastUsed += part.length
        at += part.length
      }
      length += piece.length
      return occupiedBytes - before
    },
    get length () { return length },
    get occupiedBytes () { return occupiedBytes },
    join: () => {
      const joined = Buffer.allocUnsafeSlow(length)
      let at = 0
      for (const page of pages) {
        page.copy(joined, at, 0, Math.min(page.length, length - at))
        at += page.length
      }
      return joined
    },
    takeParts: () => {
      const parts = pages.map((page, at) => at === pages.length - 1 ? page.subarray(0, lastUsed) : page)
      reset()
      return parts
    },
    clear: () => {
      for (const page of pages) if (page.length === PAGE_BYTES_MAX && sparePages.length < SPARE_PAGES_MAX) sparePages.push(page)
      reset()
    }
  }
}
