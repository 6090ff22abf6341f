import type { CustomerLimit } from '../../src/configuration/index.js'
import { type Random } from '../../src/core/index.js'
import {
  CoordinatorMessageKind, createCustomerLimits, createLimitCoordinator, CustomerLimitsEffectKind, CustomerLimitsMessageKind,
  DEMAND_INTERVAL_MS, type CustomerLimitsMessage, type LimitDemand, type LimitGrant
} from '../../src/limits/index.js'
import { createFakeNetwork, type EventQueue, type NetworkFaults } from '../harness/index.js'

type Frame = { fromId: string, demand: LimitDemand } | { grant: LimitGrant }

export interface LimitFleetOptions {
  queue: EventQueue
  random: Random
  entryCount: number
  faults: NetworkFaults
  /** Entries of a customer's address set that the given entry considers live. */
  membersOf: (entryId: string, limitKey: string) => readonly string[]
  isDown?: (entryId: string) => boolean
  untilMs: number
}

export const entryIdOf = (entry: number) => `entry-${entry}`

/** Creates entries with the customer limits and limit coordinators of the product on a faulty network. */
export const createLimitFleet = ({ queue, random, entryCount, faults, membersOf, isDown = () => false, untilMs }: LimitFleetOptions) => {
  const network = createFakeNetwork<Frame>(queue, random, faults)
  const entryIds = Array.from({ length: entryCount }, (_, entry) => entryIdOf(entry))
  const limits = new Map(entryIds.map(id => [id, createCustomerLimits({ clock: queue.clock, selfId: id })]))
  const coordinators = new Map(entryIds.map(id => [id, createLimitCoordinator({ clock: queue.clock, selfId: id })]))

  const receive = (toId: string, frame: Frame) => {
    if (isDown(toId)) return
    if ('grant' in frame) return handleLimitsMessage(toId, { kind: CustomerLimitsMessageKind.ShareReceived, grant: frame.grant, memberIds: membersOf(toId, frame.grant.limitKey) })
    const effects = coordinators.get(toId)!.handle({ kind: CoordinatorMessageKind.DemandReceived, ...frame, memberIds: membersOf(toId, frame.demand.limitKey) })
    for (const { toId: grantedId, grant } of effects) network.send(toId, grantedId, { grant })
  }

  const handleLimitsMessage = (entryId: string, message: CustomerLimitsMessage): boolean => {
    let isAdmitted = false
    for (const effect of limits.get(entryId)!.handle(message)) {
      if (effect.kind === CustomerLimitsEffectKind.Admitted) isAdmitted = true
      if (effect.kind === CustomerLimitsEffectKind.DemandReported) {
        network.send(entryId, effect.coordinatorId, { fromId: entryId, demand: effect.demand })
      }
    }
    return isAdmitted
  }

  entryIds.forEach(id => {
    network.join(id, frame => { receive(id, frame) })
    // Each entry ticks with its own phase, as separate processes do.
    queue.after(random.int(0, DEMAND_INTERVAL_MS), () => queue.every(DEMAND_INTERVAL_MS, () => {
      if (!isDown(id)) {
        handleLimitsMessage(id, { kind: CustomerLimitsMessageKind.Tick })
        coordinators.get(id)!.handle({ kind: CoordinatorMessageKind.Tick })
      }
      return queue.clock.nowMs() < untilMs
    }))
  })

  return {
    admit: (entryId: string, requestId: string, limitKey: string, limit: CustomerLimit): boolean => handleLimitsMessage(entryId, {
      kind: CustomerLimitsMessageKind.AdmitRequested, requestId, limitKey, limit, memberIds: membersOf(entryId, limitKey)
    }),
    end: (entryId: string, requestId: string) => { handleLimitsMessage(entryId, { kind: CustomerLimitsMessageKind.Ended, requestId }) },
    entryIds
  }
}
