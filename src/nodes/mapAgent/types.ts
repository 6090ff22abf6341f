import type { OrderAnswer, RankOrder, RankReading } from '../../expertMaps/index.js'
import type { SentReading } from './readingPublisher.js'

/** Access to one rank over the protocol of its worker. */
export interface RankPort {
  /**
   * Reads the state of the rank, with or without the experts that its requests chose; undefined if it is in no group.
   * Rejects if the worker does not respond.
   */
  read (options: { withChoices: boolean }): Promise<RankReading | undefined>
  /** Resolves with whether the rank accepted the order, or with undefined if there was no response. */
  order (epoch: number, order: RankOrder): Promise<boolean | undefined>
}

export enum AgentMessageKind {
  /** Heartbeat of the sender. */
  Alive = 'alive',
  /** State of the sender's rank, for the coordinator. */
  Reading = 'reading',
  /** An order from the coordinator to the receiver's rank. */
  Order = 'order',
  /** An order as the receiver sees it if it does not know the map from which the order's map differs. */
  UnknownBase = 'unknown-base',
  OrderAnswer = 'order-answer',
  /** The sender is stopping, and no longer counts as alive. */
  Leaving = 'leaving'
}

/** Messages between the agents of one group. */
export type AgentMessage = { group: string, rank: number } & (
  | { kind: AgentMessageKind.Alive }
  | { kind: AgentMessageKind.Leaving }
  | { kind: AgentMessageKind.Reading, reading: SentReading }
  | { kind: AgentMessageKind.Order, switchId: number, orderId: number, epoch: number, order: RankOrder }
  | { kind: AgentMessageKind.UnknownBase, switchId: number, orderId: number }
  | { kind: AgentMessageKind.OrderAnswer, switchId: number, orderId: number, answer: OrderAnswer }
)
