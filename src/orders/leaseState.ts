import { fingerprint } from '../core/index.js'
import type { LeaseDocument, LeaseState, Placement } from './types.js'

/** State of a reader that has read no records. */
export const getDefaultLeaseState = (): LeaseState =>
  ({ offset: 0, claim: undefined, lastSequence: 0, assignments: new Map() })

/** Serializes placements for comparison and hashing, independent of the order of fields. */
export const textOfPlacements = (placements: readonly Placement[]): string =>
  JSON.stringify(placements.map(({ agentId, role, model, version, adapters }) => [agentId, role, model, version, adapters]))

/** Hash of the content of a document. */
export const hashLease = ({ offset, claim, lastSequence, assignments }: Omit<LeaseDocument, 'hash'>): string =>
  fingerprint(JSON.stringify([
    offset, claim?.offset, claim?.holder, lastSequence,
    assignments.map(({ pool, claimOffset, sequence, placements }) =>
      [pool, claimOffset, sequence, textOfPlacements(placements)])
  ]))

/** Converts the state to a document, as snapshot records and messages between peers contain it. */
export const toLeaseDocument = ({ offset, claim, lastSequence, assignments }: LeaseState): LeaseDocument => {
  const sorted = [...assignments.values()].sort((a, b) => (a.pool < b.pool ? -1 : 1))
  const content = { offset, ...(claim && { claim }), lastSequence, assignments: sorted }
  return { ...content, hash: hashLease(content) }
}

/** Converts a document to a new state. */
export const fromLeaseDocument = ({ offset, claim, lastSequence, assignments }: LeaseDocument): LeaseState => ({
  offset, claim, lastSequence, assignments: new Map(assignments.map(assignment => [assignment.pool, assignment]))
})

/** Whether the content of a document matches its hash. */
export const isIntactLease = (document: LeaseDocument): boolean => hashLease(document) === document.hash

/** Whether a document is older than the state: it has a lower offset or an earlier claim. */
export const replacesByLowerClaim = (state: LeaseState, { offset, claim }: LeaseDocument): boolean =>
  offset < state.offset || (claim?.offset ?? 0) < (state.claim?.offset ?? 0)
