import { OrderAnswer, type RankOrder, RankOrderKind } from '../../expertMaps/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import type { RankPort } from './types.js'

/** Sends an order to a rank and returns its answer. */
export type ExecuteOrder = (target: RankPort, epoch: number, order: RankOrder) => Promise<OrderAnswer>

const toAnswer = (accepted: boolean | undefined): OrderAnswer =>
  accepted === undefined ? OrderAnswer.None : accepted ? OrderAnswer.Accepted : OrderAnswer.Rejected

/** A prepare order without a response is repeated here, where that costs no message of the coordinator. */
const orderUntilAnswered: ExecuteOrder = async (target, epoch, order) => {
  const answer = toAnswer(await target.order(epoch, order))
  if (answer !== OrderAnswer.None || order.kind !== RankOrderKind.Prepare) return answer
  const secondAnswer = toAnswer(await target.order(epoch, order))
  // The rank also rejects a map that it already has from the first order; its readings show which it is.
  return secondAnswer === OrderAnswer.Rejected ? OrderAnswer.None : secondAnswer
}

/**
 * Creates the function that executes the orders of a coordinator.
 *
 * @example
 * await createOrderExecution({ log })(port, epoch, { kind: RankOrderKind.Go, step: 7 })
 */
export const createOrderExecution = ({ log }: { log: EventLog }): ExecuteOrder => async (target, epoch, order) => {
  const answer = await orderUntilAnswered(target, epoch, order)
  if (answer !== OrderAnswer.Accepted) log(LogEvent.OrderRefused, { order: order.kind, epoch, answer })
  return answer
}
