import { createRunningHash, type RunningHash } from '../core/index.js'

/** Response of one run while it is produced and after it has ended. */
export interface StoredResponse {
  readonly producedCount: number
  readonly isKept: boolean
  readonly chunks: readonly Uint8Array[]
  add (bytes: Uint8Array): void
  /** 64-bit hash of all chunks produced so far. */
  digest (): string
  /** Marks the response as ended; it may be dropped when another response needs its space. */
  end (): void
  /** Drops the chunks permanently; later ones are only counted and hashed. */
  drop (): void
}

export interface ResponseStoreOptions {
  answerBytesMax: number
  answersBytesMax: number
  answerChunksMax: number
  answersChunksMax: number
}

/** Stores responses within limits of their bytes and chunks, each and in total. */
export interface ResponseStore {
  open (): StoredResponse
  readonly bytes: number
}

/**
 * Creates the store. When a total limit is reached, the oldest ended responses are dropped, because a retry
 * usually follows soon after the first attempt. Only the response is dropped; the run itself is kept.
 *
 * @example
 * const response = createResponseStore({ answerBytesMax: 1_048_576, answersBytesMax: 33_554_432, answerChunksMax: 8_192, answersChunksMax: 131_072 }).open()
 * response.add(bytes)
 */
export const createResponseStore = (
  { answerBytesMax, answersBytesMax, answerChunksMax, answersChunksMax }: ResponseStoreOptions
): ResponseStore => {
  const ended = new Set<StoredResponse>()
  let totalBytes = 0
  let totalChunks = 0

  const hasRoomFor = (bytes: number) => totalBytes + bytes <= answersBytesMax && totalChunks < answersChunksMax

  const evictFor = (bytes: number): boolean => {
    for (const response of ended) {
      if (hasRoomFor(bytes)) break
      response.drop()
    }
    return hasRoomFor(bytes)
  }

  const open = (): StoredResponse => {
    let hash: RunningHash | undefined = createRunningHash()
    let digest = ''
    let chunks: Uint8Array[] = []
    let responseBytes = 0
    let producedCount = 0
    let isKept = true

    const response: StoredResponse = {
      get producedCount () { return producedCount },
      get isKept () { return isKept },
      get chunks () { return chunks },
      add: bytes => {
        hash?.update(bytes)
        producedCount += 1
        if (!isKept) return
        const isTooLarge = responseBytes + bytes.length > answerBytesMax || chunks.length >= answerChunksMax
        if (isTooLarge || !evictFor(bytes.length)) {
          response.drop()
          return
        }
        responseBytes += bytes.length
        totalBytes += bytes.length
        totalChunks += 1
        chunks.push(bytes)
      },
      digest: () => hash?.digest() ?? digest,
      end: () => {
        digest = response.digest()
        // The state of the hash is larger than most responses.
        hash = undefined
        if (isKept) ended.add(response)
      },
      drop: () => {
        ended.delete(response)
        totalBytes -= responseBytes
        totalChunks -= chunks.length
        responseBytes = 0
        chunks = []
        isKept = false
      }
    }
    return response
  }

  return { open, get bytes () { return totalBytes } }
}
