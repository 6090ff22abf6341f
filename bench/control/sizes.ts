import type { NetworkFaults } from '../harness/index.js'

/** Fleet sizes that are simulated; figures at full size are extrapolated from them. */
export const ENTRY_COUNTS = [18, 36, 72] as const
export const FULL_ENTRIES = 340
export const FULL_AGENTS = 600
export const SUBSET_SIZE = 12
export const POOLS = 3

export const agentCountFor = (entryCount: number): number => Math.round(entryCount * FULL_AGENTS / FULL_ENTRIES)

/** A tenth of the messages is lost; delays are those between hosts of one region. */
export const LOSSY_NETWORK: NetworkFaults = { delayMinMs: 1, delayMaxMs: 20, lossRatio: 0.1, duplicateRatio: 0.01 }

/** Draws the delay of a frame on a link: TCP resends a lost segment after 200 ms, doubled with each loss. */
export const linkDelayMs = (random: { next (): number }): number => {
  let delayMs = LOSSY_NETWORK.delayMinMs + random.next() * (LOSSY_NETWORK.delayMaxMs - LOSSY_NETWORK.delayMinMs)
  for (let retryMs = 200; random.next() < LOSSY_NETWORK.lossRatio; retryMs *= 2) delayMs += retryMs
  return delayMs
}
