import type { FollowedRecord } from '../../src/configuration/index.js'
import { type LeaseBody, LeaseRecordKind, type PoolAssignment } from '../../src/orders/index.js'

/** Name of an assignment, the same for a record and its duplicates. */
export const assignmentKeyOf = ({ claimOffset, sequence }: PoolAssignment): string => `${claimOffset}/${sequence}`

/** Reference for differential tests: searches every record before each one for the claim in effect. */
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
