import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Clock } from '../core/index.js'
import { COLLECT_ABOVE_SHARE, COLLECT_AFTER_BYTES, COLLECT_AT_ONCE_SHARE, COLLECT_INTERVAL_MS, COLLECT_YOUNG_AFTER_BYTES } from './constants.js'

/** Frees the memory of large buffers soon after they are no longer held. */
export interface Collector {
  /** Bytes that were held for some time are no longer needed. */
  recordReleased (bytes: number): void
  /** Bytes were read and copied; their read buffers are no longer needed. */
  recordRead (bytes: number): void
}

type Collect = (options?: { type: 'minor' }) => void

const findGarbageCollector = (): Collect => {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as Collect
}

/**
 * Creates the collector of a process. V8 counts the memory of buffers as external, and collects it only after 64 MB more of it
 * have been allocated: more than the smallest hosts have left. So the process asks for a collection when much was released and
 * its resident memory is near that of its host, which does not happen in calm.
 *
 * @example
 * createCollector({ clock, memoryBytes }).recordReleased(4_194_304)
 */
export const createCollector = ({ clock, memoryBytes }: { clock: Clock, memoryBytes: number }): Collector => {
  let releasedBytes = 0
  let readBytes = 0
  let isScheduled = false
  let collectedAtMs = clock.nowMs()
  let collect: Collect | undefined

  const usesMoreThan = (share: number) => process.memoryUsage.rss() >= memoryBytes * share

  const collectAll = () => {
    isScheduled = false
    collect ??= findGarbageCollector()
    collect()
    releasedBytes = 0
    collectedAtMs = clock.nowMs()
  }

  return {
    recordReleased: bytes => {
      releasedBytes += bytes
      if (releasedBytes < COLLECT_AFTER_BYTES || isScheduled) return
      const hasWaited = clock.nowMs() - collectedAtMs >= COLLECT_INTERVAL_MS
      if (!usesMoreThan(hasWaited ? COLLECT_ABOVE_SHARE : COLLECT_AT_ONCE_SHARE)) return
      isScheduled = true
      // The message that drops the bytes is handled in the next microtask.
      queueMicrotask(() => queueMicrotask(collectAll))
    },
    recordRead: bytes => {
      readBytes += bytes
      if (readBytes < COLLECT_YOUNG_AFTER_BYTES) return
      readBytes = 0
      if (!usesMoreThan(COLLECT_ABOVE_SHARE)) return
      collect ??= findGarbageCollector()
      collect({ type: 'minor' })
    }
  }
}
