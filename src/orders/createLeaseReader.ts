import { createLogFollower, type FollowedRecord, type LogFollowerOptions, type StreamModel } from '../configuration/index.js'
import type { Core, Incarnation } from '../core/index.js'
import { LeaseRecordKind, LeaseRule, VoidReason } from './constants.js'
import {
  fromLeaseDocument, getDefaultLeaseState, isIntactLease, replacesByLowerClaim, toLeaseDocument
} from './leaseState.js'
import {
  type LeaseBody, type LeaseDocument, type LeaseEffect, LeaseEffectKind, type LeaseMessage, type LeaseOwnEffect,
  type LeaseState, type PoolAssignment
} from './types.js'

export interface LeaseReaderOptions extends LogFollowerOptions {
  disabledLeaseRules?: ReadonlySet<LeaseRule>
}

type Rules = ReadonlySet<LeaseRule>
type RecordHandlers = {
  [Kind in LeaseRecordKind]:
  (state: LeaseState, offset: number, body: Extract<LeaseBody, { kind: Kind }>) => LeaseOwnEffect[]
}
type ClaimBody = Extract<LeaseBody, { kind: LeaseRecordKind.Claim }>

const voided = (offset: number, reason: VoidReason): LeaseOwnEffect[] =>
  [{ kind: LeaseEffectKind.RecordVoided, offset, reason }]

const applyClaim = (state: LeaseState, offset: number, { holder, supersedes }: ClaimBody, disabledRules: Rules) => {
  const isLost = supersedes !== (state.claim?.offset ?? 0)
  if (isLost && !disabledRules.has(LeaseRule.ClaimNamesSuperseded)) return voided(offset, VoidReason.ClaimLost)
  state.claim = { offset, holder }
  state.lastSequence = 0
  return [{ kind: LeaseEffectKind.ClaimInEffect as const, claim: state.claim }]
}

const restartedState = (offset: number, holder: Incarnation): LeaseState =>
  ({ offset, claim: { offset, holder }, lastSequence: 0, assignments: new Map() })

const applyRestart = (state: LeaseState, offset: number, holder: Incarnation): LeaseOwnEffect[] => {
  const claim = { offset, holder }
  Object.assign(state, restartedState(offset, holder))
  return [{ kind: LeaseEffectKind.ClaimInEffect, claim }]
}

const applyRenewal = (state: LeaseState, offset: number, claimOffset: number): LeaseOwnEffect[] =>
  claimOffset === state.claim?.offset
    ? [{ kind: LeaseEffectKind.HolderSeen, claimOffset }]
    : voided(offset, VoidReason.Superseded)

const applyAssignment = (
  state: LeaseState, offset: number, assignment: PoolAssignment, disabledRules: Rules
): LeaseOwnEffect[] => {
  const { claimOffset, sequence, pool } = assignment
  const isSuperseded = claimOffset !== state.claim?.offset
  if (isSuperseded && !disabledRules.has(LeaseRule.LaterClaimVoids)) return voided(offset, VoidReason.Superseded)
  const isLate = sequence <= state.lastSequence
  if (isLate && !disabledRules.has(LeaseRule.AssignmentSequence)) return voided(offset, VoidReason.OutOfSequence)
  state.lastSequence = sequence
  state.assignments.set(pool, assignment)
  return [{ kind: LeaseEffectKind.AssignmentAccepted, assignment }]
}

const changesBetween = (oldState: LeaseState, newState: LeaseState): LeaseOwnEffect[] => {
  const isNewClaim = newState.claim !== undefined && newState.claim.offset !== oldState.claim?.offset
  const changed = [...newState.assignments.values()].filter(({ pool, claimOffset, sequence }) => {
    const old = oldState.assignments.get(pool)
    return old?.claimOffset !== claimOffset || old.sequence !== sequence
  })
  return [
    ...(isNewClaim ? [{ kind: LeaseEffectKind.ClaimInEffect as const, claim: newState.claim! }] : []),
    ...changed.map(assignment => ({ kind: LeaseEffectKind.AssignmentAccepted as const, assignment }))
  ]
}

/**
 * Evaluates the lease stream: which claim is in effect, which assignments are valid and which records
 * are void. Records of a superseded holder are void by their position in the log, not by a clock.
 *
 * @example
 * const reader = createLeaseReader({ clock, random, retentionMs: 86_400_000 })
 * reader.handle(toLeasePage(readId, page)) // [{ kind: LeaseEffectKind.ClaimInEffect, claim }]
 */
export const createLeaseReader = (
  { disabledLeaseRules = new Set(), ...options }: LeaseReaderOptions
): Core<LeaseMessage, LeaseEffect> => {
  const handlers: RecordHandlers = {
    [LeaseRecordKind.Claim]: (state, offset, claim) => applyClaim(state, offset, claim, disabledLeaseRules),
    [LeaseRecordKind.Restart]: (state, offset, { holder }) => applyRestart(state, offset, holder),
    [LeaseRecordKind.Renewal]: (state, offset, { claimOffset }) => applyRenewal(state, offset, claimOffset),
    [LeaseRecordKind.Assignment]: (state, offset, { assignment }) =>
      applyAssignment(state, offset, assignment, disabledLeaseRules),
    [LeaseRecordKind.Snapshot]: () => [],
    [LeaseRecordKind.Unreadable]: () => []
  }

  const apply = (state: LeaseState, { offset, body }: FollowedRecord<LeaseBody>): LeaseOwnEffect[] => {
    const handler = handlers[body.kind] as (state: LeaseState, offset: number, body: LeaseBody) => LeaseOwnEffect[]
    return handler(state, offset, body)
  }

  const model: StreamModel<LeaseState, LeaseBody, LeaseDocument, LeaseOwnEffect> = {
    getDefaultState: getDefaultLeaseState,
    apply,
    snapshotOf: body => body.kind === LeaseRecordKind.Snapshot ? body.snapshot : undefined,
    toDocument: toLeaseDocument,
    fromDocument: fromLeaseDocument,
    isIntact: isIntactLease,
    wouldRegress: replacesByLowerClaim,
    changesBetween,
    // Every reader handles a restart in the same way, with or without a gap, so all agree after it. The
    // new token is higher than all earlier ones, and the new holder appends all assignments again.
    resetTo: ({ offset, body }) =>
      body.kind === LeaseRecordKind.Restart ? restartedState(offset, body.holder) : undefined
  }
  return createLogFollower(model, options)
}
