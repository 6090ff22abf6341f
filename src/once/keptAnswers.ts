import { createRunningHash, type RunningHash } from '../core/index.js'

/** The answer of one run as it is produced. */
export interface KeptAnswer {
  readonly producedCount: number
  readonly isKept: boolean
  readonly chunks: readonly Uint8Array[]
  add (bytes: Uint8Array): void
  /** 64-bit hash of all chunks produced so far. */
  digest (): string
  /** No chunk follows; the answer may be dropped when another one needs its bytes. */
  end (): void
  /** Drops the answer for good. */
  drop (): void
}

/** Keeps answers within a limit of bytes. */
export interface KeptAnswers {
  open (): KeptAnswer
  readonly bytes: number
}

/**
 * Creates the store. When the limit is reached, the oldest complete answers are dropped: a resend
 * usually follows soon after the first attempt. The keys themselves stay.
 *
 * @example
 * const answer = createKeptAnswers({ answerBytesMax: 1_048_576, answersBytesMax: 33_554_432 }).open()
 * answer.add(bytes)
 */
export const createKeptAnswers = (
  { answerBytesMax, answersBytesMax }: { answerBytesMax: number, answersBytesMax: number }
): KeptAnswers => {
  const ended = new Set<KeptAnswer>()
  let totalBytes = 0

  const makeRoom = (bytes: number): boolean => {
    for (const answer of ended) {
      if (totalBytes + bytes <= answersBytesMax) break
      answer.drop()
    }
    return totalBytes + bytes <= answersBytesMax
  }

  const open = (): KeptAnswer => {
    let hash: RunningHash | undefined = createRunningHash()
    let digest = ''
    let chunks: Uint8Array[] = []
    let answerBytes = 0
    let producedCount = 0
    let isKept = true

    const answer: KeptAnswer = {
      get producedCount () { return producedCount },
      get isKept () { return isKept },
      get chunks () { return chunks },
      add: bytes => {
        hash?.update(bytes)
        producedCount += 1
        if (!isKept) return
        if (answerBytes + bytes.length > answerBytesMax || !makeRoom(bytes.length)) {
          answer.drop()
          return
        }
        answerBytes += bytes.length
        totalBytes += bytes.length
        chunks.push(bytes)
      },
      digest: () => hash?.digest() ?? digest,
      end: () => {
        digest = answer.digest()
        // The state of the hash is larger than most answers.
        hash = undefined
        if (isKept) ended.add(answer)
      },
      drop: () => {
        ended.delete(answer)
        totalBytes -= answerBytes
        answerBytes = 0
        chunks = []
        isKept = false
      }
    }
    return answer
  }

  return { open, get bytes () { return totalBytes } }
}
