import type { OrderAnswer, RankOrder, RankReading } from '../../expertMaps/index.js'

/** One rank, behind the protocol of its worker. */
export interface RankPort {
  /** Reads the rank, with what its requests chose or without; undefined if it is in no group. Rejects if the worker does not answer. */
  read (options: { withChoices: boolean }): Promise<RankReading | undefined>
  /** Resolves with whether the rank accepted the order, or with undefined if there was no answer. */
  order (epoch: number, order: RankOrder): Promise<boolean | undefined>
}

export enum AgentMessageKind {
  /** The sender lives. */
  Alive = 'alive',
  /** State of the sender's rank, for the coordinator. */
  Reading = 'reading',
  /** An order of the coordinator for the receiver's rank. */
  Order = 'order',
  OrderAnswer = 'order-answer',
  /** The sender ends, and no longer counts as alive. */
  Leaving = 'leaving'
}

/** What agents of one group send each other. */
export type AgentMessage = { group: string, rank: number } & (
  | { kind: AgentMessageKind.Alive }
  | { kind: AgentMessageKind.Leaving }
  | { kind: AgentMessageKind.Reading, reading: RankReading }
  | { kind: AgentMessageKind.Order, switchId: number, orderId: number, epoch: number, order: RankOrder }
  | { kind: AgentMessageKind.OrderAnswer, switchId: number, orderId: number, answer: OrderAnswer }
)
