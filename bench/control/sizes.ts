import type { NetworkFaults } from '../harness/index.js'

/** Fleet sizes that are run; figures at full size are worked out from their slope. */
export const ENTRY_COUNTS = [18, 36, 72] as const
export const FULL_ENTRIES = 340
export const FULL_AGENTS = 600
export const SUBSET_SIZE = 12
export const POOLS = 3

export const agentsFor = (entryCount: number): number => Math.round(entryCount * FULL_AGENTS / FULL_ENTRIES)

/** A tenth of the messages is lost; delays of hosts in one region. */
export const LOSSY: NetworkFaults = { delayMinMs: 1, delayMaxMs: 20, lossRatio: 0.1, duplicateRatio: 0.01 }

/** Delay of a frame on a link: TCP sends a lost segment again after 200 ms, then twice as late each time. */
export const linkDelayMs = (random: { next (): number }): number => {
  let delayMs = LOSSY.delayMinMs + random.next() * (LOSSY.delayMaxMs - LOSSY.delayMinMs)
  for (let retryMs = 200; random.next() < LOSSY.lossRatio; retryMs *= 2) delayMs += retryMs
  return delayMs
}
