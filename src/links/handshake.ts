import { createHmac, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'
import { NodeRole } from './constants.js'
import type { FleetKey, PeerIdentity } from './types.js'

const shortText = z.string().min(1).max(256)

/** Schema of the identity that a peer claims; it is validated before use. */
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

/** Side of a connection. It is part of the proof, so that a proof cannot be reflected to its sender. */
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
 * Creates the proof that this process knows a fleet key. It is valid for one connection only.
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

/** Verifies a proof with the accepted key that it names; several accepted keys allow rotation without downtime. */
export const verifyProof = (keys: readonly FleetKey[], keyId: string, proof: string, input: ProofInput): boolean => {
  const key = keys.find(candidate => candidate.keyId === keyId)
  if (key === undefined) return false
  const expected = Buffer.from(signProof(key, input))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
