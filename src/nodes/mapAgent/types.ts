import type { RankOrder, RankReading } from '../../expertMaps/index.js'

/** The agent's own worker and the other ranks, behind their protocol. */
export interface RankPort {
  /** Reads the own rank; undefined if it is in no group. Rejects if the worker does not answer. */
  read (): Promise<RankReading | undefined>
  /** Sends an order to the rank at an address; resolves with undefined if there was no answer. */
  order (address: string, workerId: string, epoch: number, order: RankOrder): Promise<boolean | undefined>
}

/** What agents of one group send each other. */
export interface AgentMessage {
  rank: number
  group: string
  /** Sent to the coordinator only; others need to know just that the agent lives. */
  reading?: RankReading
}
