import { CACHE_GAP_LIMIT_MS, CACHE_REORDER_MAX, CacheEventKind, GAP_CONFIDENCE_FACTOR, PREFIX_BLOCKS_DEFAULT, PREFIX_BLOCKS_MAX, CONFIDENCE_MIN } from './constants.js'
import type { BlockFingerprint, CacheEvent } from './types.js'

/** An entry's approximate view of the prefix cache of one upstream. */
export interface PrefixIndex {
  /** Returns how many blocks from the start of the prompt are probably cached. */
  matchBlocks (blocks: readonly BlockFingerprint[]): number
  /** Adds the blocks of a prompt that was sent to the upstream. */
  addPrompt (blocks: readonly BlockFingerprint[]): void
  /** Applies a batch of events in the order of sequence numbers; returns true if it skipped a gap. */
  applyEvents (sequence: number, events: readonly CacheEvent[], nowMs: number): boolean
  /** Skips batches that have been missing for too long; returns true if it skipped a gap. */
  expireGaps (nowMs: number): boolean
  /** Replaces the content with a snapshot of the cache. */
  replace (sequence: number, blocks: readonly BlockFingerprint[]): void
  /** Applies the cache size and the last sequence number of a load report. */
  updateState (state: { eventSequence: number, blocksMax: number }, nowMs: number): void
  /** Share of the matched blocks that is assumed to be cached, from CONFIDENCE_MIN to 1. */
  readonly confidence: number
  readonly size: number
}

/**
 * Creates the index of one upstream. It is filled from the entry's own dispatches and corrected by cache
 * events. Its capacity follows the size of the upstream's cache; the least recently used blocks are
 * evicted first.
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
      // The last blocks are touched first, as an engine evicts the end of a prefix before its start.
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
      // A higher sequence number in the report reveals missing events even if no later batch has arrived.
      if (lastSequence === -1) lastSequence = eventSequence
      else if (eventSequence > lastSequence) gapSinceMs ??= nowMs
      else if (pendingBatches.size === 0) gapSinceMs = undefined
    },
    get confidence () { return confidence },
    get size () { return blocks.size }
  }
}
