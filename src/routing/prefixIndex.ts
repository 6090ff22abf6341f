import { CACHE_GAP_LIMIT_MS, CACHE_REORDER_MAX, CacheEventKind, GAP_CONFIDENCE_FACTOR, PREFIX_BLOCKS_DEFAULT, PREFIX_BLOCKS_MAX, CONFIDENCE_MIN } from './constants.js'
import type { BlockFingerprint, CacheEvent } from './types.js'

/** What an entry believes about the prefix cache of one upstream. */
export interface PrefixIndex {
  /** Blocks from the start of the prompt that the upstream likely holds. */
  matchBlocks (blocks: readonly BlockFingerprint[]): number
  /** Records that a prompt was sent there. */
  addPrompt (blocks: readonly BlockFingerprint[]): void
  /** Applies a batch of events in sequence; returns true if a gap was found. */
  applyEvents (sequence: number, events: readonly CacheEvent[], nowMs: number): boolean
  /** Gives up on batches that are missing for too long; returns true if a gap was found. */
  expireGaps (nowMs: number): boolean
  /** Replaces the content by a full listing. */
  replace (sequence: number, blocks: readonly BlockFingerprint[]): void
  /** Takes over the cache size and the last sequence number of a load report. */
  updateState (state: { eventSequence: number, blocksMax: number }, nowMs: number): void
  /** Share of the matched blocks that is counted on, from TRUST_MIN to 1. */
  readonly confidence: number
  readonly size: number
}

/**
 * Creates the index of one upstream. It is filled by own dispatches and corrected by cache
 * events; its size follows the size of the upstream's cache with the oldest blocks dropped first.
 *
 * @example
 * const index = createPrefixIndex()
 * index.addPrompt(['a', 'ab'])
 * index.matchBlocks(['a', 'ab', 'abc']) // 2
 */
export const createPrefixIndex = (): PrefixIndex => {
  const blocks = new Set<BlockFingerprint>()
  const pendingBatches = new Map<number, readonly CacheEvent[]>()
  let blocksMax = PREFIX_BLOCKS_DEFAULT
  let lastSequence = -1
  let gapSinceMs: number | undefined
  let confidence = 1

  const touch = (block: BlockFingerprint) => {
    blocks.delete(block)
    blocks.add(block)
  }

  const trim = () => {
    for (const block of blocks) {
      if (blocks.size <= blocksMax) return
      blocks.delete(block)
    }
  }

  const eventHandlers: Record<CacheEventKind, (block: BlockFingerprint) => void> = {
    [CacheEventKind.Stored]: touch,
    [CacheEventKind.Removed]: block => { blocks.delete(block) },
    [CacheEventKind.Cleared]: () => { blocks.clear() }
  }

  const applyPending = () => {
    for (let next = pendingBatches.get(lastSequence + 1); next !== undefined; next = pendingBatches.get(lastSequence + 1)) {
      lastSequence += 1
      pendingBatches.delete(lastSequence)
      for (const { kind, block } of next) eventHandlers[kind](block ?? '')
    }
    trim()
  }

  const skipGap = (nowMs: number): boolean => {
    confidence = Math.max(CONFIDENCE_MIN, confidence * GAP_CONFIDENCE_FACTOR)
    lastSequence = Math.min(...pendingBatches.keys()) - 1
    applyPending()
    gapSinceMs = pendingBatches.size > 0 ? nowMs : undefined
    return true
  }

  return {
    matchBlocks: prompt => {
      let count = 0
      while (count < prompt.length && blocks.has(prompt[count]!)) count += 1
      return count
    },
    addPrompt: prompt => {
      // The last blocks are touched first: an engine evicts the end of a prefix before its start.
      for (let i = prompt.length - 1; i >= 0; i--) touch(prompt[i]!)
      trim()
    },
    applyEvents: (sequence, events, nowMs) => {
      if (lastSequence === -1) lastSequence = sequence - 1
      if (sequence <= lastSequence) return false
      pendingBatches.set(sequence, events)
      applyPending()
      if (pendingBatches.size === 0) {
        gapSinceMs = undefined
        return false
      }
      gapSinceMs ??= nowMs
      return pendingBatches.size > CACHE_REORDER_MAX && skipGap(nowMs)
    },
    expireGaps: nowMs => {
      if (gapSinceMs === undefined || nowMs - gapSinceMs < CACHE_GAP_LIMIT_MS) return false
      if (pendingBatches.size > 0) return skipGap(nowMs)
      gapSinceMs = undefined
      confidence = Math.max(CONFIDENCE_MIN, confidence * GAP_CONFIDENCE_FACTOR)
      return true
    },
    replace: (sequence, listedBlocks) => {
      if (sequence < lastSequence) return
      blocks.clear()
      for (const block of listedBlocks.slice(-PREFIX_BLOCKS_MAX)) blocks.add(block)
      for (const key of pendingBatches.keys()) if (key <= sequence) pendingBatches.delete(key)
      lastSequence = sequence
      confidence = 1
      gapSinceMs = undefined
      applyPending()
    },
    updateState: ({ eventSequence, blocksMax: reportedMax }, nowMs) => {
      blocksMax = Math.max(1, Math.min(PREFIX_BLOCKS_MAX, reportedMax))
      trim()
      // Events are missing although none arrived after the gap.
      if (lastSequence === -1) lastSequence = eventSequence
      else if (eventSequence > lastSequence) gapSinceMs ??= nowMs
      else if (pendingBatches.size === 0) gapSinceMs = undefined
    },
    get confidence () { return confidence },
    get size () { return blocks.size }
  }
}
