import type { CustomerLimit } from '../configuration/index.js'
import { type Clock, type Core, dispatch, type HandlerTable, type TimestampMs } from '../core/index.js'
import { CoordinatorEffectKind, CoordinatorMessageKind, DEMAND_HEADROOM, LIMIT_KEYS_MAX, SHARE_LIFETIME_MS } from './constants.js'
import { divideAmount, equalShare, roundShares } from './divideLimit.js'
import type { CoordinatorEffect, CoordinatorMessage, LimitDemand, LimitShare } from './types.js'

type MessageOf<Kind extends CoordinatorMessageKind> = Extract<CoordinatorMessage, { kind: Kind }>

interface Grant { share: LimitShare, sequence: number, expiresMs: TimestampMs }

interface Member {
  demand: LimitDemand | undefined
  lastDemandMs: TimestampMs
  /** Grants that the entry may be using; confirming one invalidates the older ones. */
  grants: Grant[]
  /** Share that the entry used at its last report; the equal share if it had no grant. */
  held: LimitShare | undefined
}

interface Division {
  limit: CustomerLimit
  startedMs: TimestampMs
  lastDemandMs: TimestampMs
  members: Map<string, Member>
}

type Amount = keyof LimitShare

const wantedAmount: Record<Amount, (demand: LimitDemand) => number> = {
  requestsPerS: ({ offeredPerS }) => offeredPerS * DEMAND_HEADROOM,
  burstRequests: ({ offeredPerS, limit }) => offeredPerS * DEMAND_HEADROOM * limit.burstRequests / limit.requestsPerS,
  concurrentMax: ({ wantedConcurrent }) => Math.ceil(wantedConcurrent * DEMAND_HEADROOM)
}

/**
 * Divides the fleet-wide limits of customers among the entries of their address sets. A share only grows
 * by amounts that no other entry may still be using, so the sum stays within the limit even if messages
 * are late or lost. During a network partition there may be two coordinators, each of which divides the
 * whole limit.
 *
 * @example
 * const coordinator = createLimitCoordinator({ clock, selfId: 'entry-1' })
 * coordinator.handle({ kind: CoordinatorMessageKind.DemandReceived, fromId: 'entry-2', demand, memberIds })
 */
export const createLimitCoordinator = (
  { clock, selfId }: { clock: Clock, selfId: string }
): Core<CoordinatorMessage, CoordinatorEffect> => {
  const divisions = new Map<string, Division>()

  const getOrCreateDivision = (limitKey: string, limit: CustomerLimit): Division => {
    const nowMs = clock.nowMs()
    const known = divisions.get(limitKey)
    if (known !== undefined) return Object.assign(known, { limit, lastDemandMs: nowMs })
    if (divisions.size >= LIMIT_KEYS_MAX) divisions.delete(divisions.keys().next().value!)
    const division: Division = { limit, startedMs: nowMs, lastDemandMs: nowMs, members: new Map() }
    divisions.set(limitKey, division)
    return division
  }

  const syncMembers = ({ members }: Division, memberIds: readonly string[]) => {
    for (const memberId of members.keys()) if (!memberIds.includes(memberId)) members.delete(memberId)
    for (const memberId of memberIds) {
      if (!members.has(memberId)) members.set(memberId, { demand: undefined, lastDemandMs: 0, grants: [], held: undefined })
    }
  }

  /** Returns the maximum of an amount that an entry may be using now. */
  const maxInUse = (division: Division, memberId: string, amount: Amount): number => {
    const member = division.members.get(memberId)!
    const nowMs = clock.nowMs()
    member.grants = member.grants.filter(({ expiresMs }) => expiresMs > nowMs)
    const equal = equalShare(division.limit, [...division.members.keys()], memberId)[amount]
    const isHeldShareKnown = member.held !== undefined && nowMs - member.lastDemandMs < SHARE_LIFETIME_MS
    const inUse = isHeldShareKnown ? member.held![amount] : equal
    const running = amount === 'concurrentMax' && isHeldShareKnown ? member.demand?.runningRequests ?? 0 : 0
    return Math.max(inUse, running, ...member.grants.map(({ share }) => share[amount]))
  }

  const shareFor = (division: Division, memberId: string): LimitShare => {
    const memberIds = [...division.members.keys()].sort()
    // Entries that have not reported may still use shares granted by a previous coordinator.
    const areEarlierGrantsExpired = clock.nowMs() - division.startedMs >= SHARE_LIFETIME_MS
    const hasAllDemands = memberIds.every(id => division.members.get(id)!.demand !== undefined)
    const target = (amount: Amount): number => {
      const wanted = memberIds.map(id => {
        const { demand, lastDemandMs } = division.members.get(id)!
        return demand === undefined || clock.nowMs() - lastDemandMs > SHARE_LIFETIME_MS ? 0 : wantedAmount[amount](demand)
      })
      const shares = divideAmount(division.limit[amount], wanted)
      return (amount === 'concurrentMax' ? roundShares(shares) : shares)[memberIds.indexOf(memberId)]!
    }
    const grantable = (amount: Amount): number => {
      const own = maxInUse(division, memberId, amount)
      if (!areEarlierGrantsExpired && !hasAllDemands) return own
      const others = memberIds.reduce((sum, id) => id === memberId ? sum : sum + maxInUse(division, id, amount), 0)
      return Math.max(0, Math.min(target(amount), division.limit[amount] - others))
    }
    return { requestsPerS: grantable('requestsPerS'), burstRequests: grantable('burstRequests'), concurrentMax: grantable('concurrentMax') }
  }

  const grantTo = (limitKey: string, division: Division, toId: string): CoordinatorEffect => {
    const member = division.members.get(toId)!
    const share = shareFor(division, toId)
    const sequence = member.demand?.sequence ?? 0
    // The entry counts the lifetime from the time it sent its demand, which is earlier than now. Without a
    // demand it counts from the receipt of the grant, so a second lifetime allows for the message delay.
    const lifetimeMs = sequence === 0 ? 2 * SHARE_LIFETIME_MS : SHARE_LIFETIME_MS
    member.grants.push({ share, sequence, expiresMs: clock.nowMs() + lifetimeMs })
    return {
      kind: CoordinatorEffectKind.ShareGranted,
      toId,
      grant: {
        limitKey,
        limit: division.limit,
        share,
        coordinatorId: selfId,
        demandSequence: sequence,
        demandSentMs: member.demand?.sentMs ?? 0
      }
    }
  }

  const onDemand = ({ fromId, demand, memberIds }: MessageOf<CoordinatorMessageKind.DemandReceived>): CoordinatorEffect[] => {
    const division = getOrCreateDivision(demand.limitKey, demand.limit)
    syncMembers(division, memberIds.includes(fromId) ? memberIds : [...memberIds, fromId])
    const member = division.members.get(fromId)!
    if (member.demand !== undefined && demand.sequence <= member.demand.sequence) {
      // A restarted entry starts at sequence number 1 again.
      if (demand.sequence !== 1 || demand.sentMs <= member.demand.sentMs) return []
      member.grants = []
    }
    member.demand = demand
    member.lastDemandMs = clock.nowMs()
    member.held = demand.held?.share ?? equalShare(division.limit, [...division.members.keys()], fromId)
    if (demand.held?.coordinatorId === selfId) {
      const heldSequence = demand.held.sequence
      member.grants = member.grants.filter(({ sequence }) => sequence >= heldSequence)
    }
    const effects = [grantTo(demand.limitKey, division, fromId)]
    // Members that have not reported get a grant too, so that their unused equal shares can go to others.
    for (const [memberId, { demand: reported, grants }] of division.members) {
      if (reported === undefined && grants.length === 0) effects.push(grantTo(demand.limitKey, division, memberId))
    }
    return effects
  }

  const onTick = (): CoordinatorEffect[] => {
    const nowMs = clock.nowMs()
    for (const [limitKey, { lastDemandMs }] of divisions) {
      if (nowMs - lastDemandMs > 2 * SHARE_LIFETIME_MS) divisions.delete(limitKey)
    }
    return []
  }

  const handlers: HandlerTable<CoordinatorMessage, CoordinatorEffect[]> = {
    [CoordinatorMessageKind.DemandReceived]: onDemand,
    [CoordinatorMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
