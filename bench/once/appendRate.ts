import { createRandom, type Random } from '../../src/core/index.js'
import {
  type BindingRecord, createBindingOwner, ONCE_SHARDS, type OwnerEffect, OwnerEffectKind, type OwnerMessage,
  OwnerMessageKind, shardOf
} from '../../src/once/index.js'
import { createEventQueue } from '../harness/index.js'
import { createFakeLog } from './fakeLog.js'

const START_MS = 1_790_000_000_000
const TICK_MS = 25
const WINDOW_MS = 600_000

export interface AppendRate {
  /** Highest number of appends of one shard within any second. */
  shardPeakPerS: number
  fleetMeanPerS: number
  /** Highest number of appends of all shards together within any second. */
  fleetPeakPerS: number
  bindingsPerAppend: number
  /** Longest time from a bind request to its reply. */
  replyMaxMs: number
}

const peakPerS = (timesMs: readonly number[]): number => {
  let first = 0
  let peak = 0
  for (let last = 0; last < timesMs.length; last++) {
    while (timesMs[last]! - timesMs[first]! >= 1_000) first += 1
    peak = Math.max(peak, last - first + 1)
  }
  return peak
}

/** Sends bind requests at random times, `callsPerS` in total, and counts the appends of each shard. */
export const measureAppendRate = (
  { seed, callsPerS, durationMs }: { seed: number, callsPerS: number, durationMs: number }
): AppendRate => {
  const queue = createEventQueue(START_MS)
  const random: Random = createRandom(seed)
  const log = createFakeLog(queue, random, {
    delayMinMs: 3, delayMaxMs: 20, lostResponseRatio: 0, lateAppendRatio: 0, duplicateAppendRatio: 0, isUnavailable: () => false
  })
  const owner = createBindingOwner({ clock: queue.clock, windowMs: WINDOW_MS })
  const shardTimesMs = Array.from({ length: ONCE_SHARDS }, (): number[] => [])
  const fleetTimesMs: number[] = []
  const sentMs = new Map<string, number>()
  let bindingCount = 0
  let replyMaxMs = 0

  const performers: { [Kind in OwnerEffectKind]: (effect: Extract<OwnerEffect, { kind: Kind }>) => void } = {
    [OwnerEffectKind.Append]: ({ shard, ticket, stream, record }) => {
      shardTimesMs[shard]!.push(queue.clock.nowMs())
      fleetTimesMs.push(queue.clock.nowMs())
      bindingCount += (record as BindingRecord).bindings.length
      log.append(stream, record, offset => post({ kind: OwnerMessageKind.AppendDone, shard, ticket, offset }), () => {})
    },
    [OwnerEffectKind.Read]: ({ shard, ticket, stream, fromOffset, recordsMax }) => log.read(stream, fromOffset, recordsMax,
      page => post({ kind: OwnerMessageKind.PageRead, shard, ticket, page }), () => {}),
    [OwnerEffectKind.Reply]: ({ reply }) => {
      replyMaxMs = Math.max(replyMaxMs, queue.clock.nowMs() - sentMs.get(reply.requestId)!)
      sentMs.delete(reply.requestId)
    },
    [OwnerEffectKind.RetentionTooShort]: () => {}
  }
  const post = (message: OwnerMessage) => {
    for (const effect of owner.handle(message)) {
      const perform = performers[effect.kind] as (effect: OwnerEffect) => void
      perform(effect)
    }
  }

  for (let shard = 0; shard < ONCE_SHARDS; shard++) post({ kind: OwnerMessageKind.ShardGained, shard })
  const endMs = START_MS + durationMs
  const requestBinding = (i: number) => {
    const scopedKey = `${seed}-${i}/fellesly`
    const requestId = `request-${i}`
    sentMs.set(requestId, queue.clock.nowMs())
    post({
      kind: OwnerMessageKind.BindRequested,
      from: 'entry-1',
      request: {
        requestId,
        scopedKey,
        keyTimeMs: queue.clock.nowMs(),
        shard: shardOf(scopedKey),
        fingerprint: 'f',
        candidate: { incarnation: 'agent-1', address: '127.0.0.1:1' }
      }
    })
    if (queue.clock.nowMs() < endMs) queue.after(random.exponential(1_000 / callsPerS), () => requestBinding(i + 1))
  }
  queue.after(1_000, () => requestBinding(0))
  queue.every(TICK_MS, () => {
    post({ kind: OwnerMessageKind.Tick })
    return queue.clock.nowMs() < endMs + 2_000
  })
  queue.runToEnd()

  return {
    shardPeakPerS: Math.max(...shardTimesMs.map(peakPerS)),
    fleetMeanPerS: fleetTimesMs.length / (durationMs / 1_000),
    fleetPeakPerS: peakPerS(fleetTimesMs),
    bindingsPerAppend: bindingCount / fleetTimesMs.length,
    replyMaxMs
  }
}
