import type { Clock, TimestampMs } from '../core/index.js'
import { SUSPICION_MS } from './constants.js'

/** Local choice of the rank that coordinates the group. Processes may disagree; ballots keep that safe. */
export interface Leadership {
  /** The lowest live rank that is not suspected. */
  leader (): number
  setLive (ranks: readonly number[]): void
  /** Excludes a rank from leadership for SUSPICION_MS. */
  suspect (rank: number): void
}

/** Creates the leadership state, in which all ranks are initially live. */
export const createLeadership = ({ ranks, clock }: { ranks: number, clock: Clock }): Leadership => {
  let live: readonly number[] = Array.from({ length: ranks }, (_rank, rank) => rank)
  const suspectedUntilMs = new Map<number, TimestampMs>()

  const isSuspected = (rank: number) => (suspectedUntilMs.get(rank) ?? 0) > clock.nowMs()

  return {
    leader: () => live.find(rank => !isSuspected(rank)) ?? live[0] ?? 0,
    setLive: next => { live = [...next].sort((a, b) => a - b) },
    suspect: rank => { suspectedUntilMs.set(rank, clock.nowMs() + SUSPICION_MS) }
  }
}
