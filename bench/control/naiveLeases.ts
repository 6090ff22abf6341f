import type { FollowedRecord } from '../../src/configuration/index.js'
import { type LeaseBody, LeaseRecordKind, type PoolAssignment } from '../../src/orders/index.js'

/** Identifies an assignment; a record and its duplicates have the same key. */
export const assignmentKeyOf = ({ claimOffset, sequence }: PoolAssignment): string => `${claimOffset}/${sequence}`

/** Reference for differential tests: replays every record and looks up the claim in effect before each. */
export const replayLeasesNaively = (history: ReadonlyArray<FollowedRecord<LeaseBody>>) => {
  const claims: number[] = []
  const accepted: PoolAssignment[] = []
  for (const { offset, body } of history) {
    const inEffect = claims.at(-1) ?? 0
    const isClaim = body.kind === LeaseRecordKind.Claim && body.supersedes === inEffect
    if (isClaim || body.kind === LeaseRecordKind.Restart) claims.push(offset)
    if (body.kind !== LeaseRecordKind.Assignment || body.assignment.claimOffset !== inEffect) continue
    const isLate = accepted.some(({ claimOffset, sequence }) =>
      claimOffset === inEffect && sequence >= body.assignment.sequence)
    if (!isLate) accepted.push(body.assignment)
  }
  return { claims: new Set(claims), accepted: new Set(accepted.map(assignmentKeyOf)), last: accepted.at(-1) }
}
