import { createHmac, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'
import { NodeRole } from './constants.js'
import type { FleetKey, PeerIdentity } from './types.js'

const shortText = z.string().min(1).max(256)

/** Validates the identity that a peer claims before any of it is trusted. */
export const peerIdentitySchema = z.object({
  nodeId: shortText,
  incarnation: shortText,
  role: z.enum(NodeRole),
  address: shortText,
  failureDomain: shortText,
  pool: shortText.optional(),
  callerAddress: shortText.optional(),
  group: shortText.optional(),
  rank: z.number().int().nonnegative().optional()
})

/** Which side of the connection signs; it is part of the proof, so a proof can't be reflected. */
export enum LinkSide {
  Dialer = 'dialer',
  Acceptor = 'acceptor'
}

export interface ProofInput {
  side: LinkSide
  dialerNonce: string
  acceptorNonce: string
  identity: PeerIdentity
}

/**
 * Proves knowledge of a fleet key for one connection.
 *
 * @example
 * const proof = signProof(key, { side: LinkSide.Dialer, dialerNonce, acceptorNonce, identity })
 */
export const signProof = (key: FleetKey, { side, dialerNonce, acceptorNonce, identity }: ProofInput): string =>
  createHmac('sha256', key.secret)
    .update(JSON.stringify([
      side, dialerNonce, acceptorNonce, identity.nodeId, identity.incarnation, identity.role, identity.address,
      identity.failureDomain, identity.pool ?? null, identity.callerAddress ?? null, identity.group ?? null,
      identity.rank ?? null
    ]))
    .digest('base64')

/** Checks a proof against every accepted key, so that keys can rotate without downtime. */
export const verifyProof = (keys: readonly FleetKey[], keyId: string, proof: string, input: ProofInput): boolean => {
  const key = keys.find(candidate => candidate.keyId === keyId)
  if (key === undefined) return false
  const expected = Buffer.from(signProof(key, input))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
