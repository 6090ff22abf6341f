import { RumorKind } from './constants.js'
import type { MemberRecord, Rumor } from './types.js'

// Upper bounds of encoded CBOR items: a text has a header of at most 3 bytes, a number at most 9 bytes.
const TEXT_HEAD_BYTES = 3
const NUMBER_BYTES = 9
const FRAME_BYTES = 4

const textBytes = (text: string | undefined) =>
  text === undefined ? 1 : TEXT_HEAD_BYTES + (isAscii(text) ? text.length : text.length * 3)

const isAscii = (text: string) => {
  for (let i = 0; i < text.length; i++) if (text.charCodeAt(i) > 127) return false
  return true
}

const recordBytes = ({ identity, announcerId }: MemberRecord) =>
  textBytes(identity.nodeId) + textBytes(identity.incarnation) + textBytes(identity.address) +
  textBytes(identity.failureDomain) + textBytes(identity.pool) + textBytes(identity.callerAddress) +
  textBytes(identity.group) + textBytes(announcerId) + 4 * NUMBER_BYTES + 3

const sizers: { [Kind in RumorKind]: (rumor: Extract<Rumor, { kind: Kind }>) => number } = {
  [RumorKind.Record]: ({ record }) => recordBytes(record),
  [RumorKind.Status]: ({ nodeId, announcerId }) => textBytes(nodeId) + textBytes(announcerId) + 2 * NUMBER_BYTES + 2,
  [RumorKind.Load]: ({ nodeId }) => textBytes(nodeId) + 3 * NUMBER_BYTES,
  [RumorKind.Broadcast]: ({ id, payload }) => textBytes(id) + TEXT_HEAD_BYTES + payload.length + NUMBER_BYTES + 1
}

/**
 * Returns an upper bound of the encoded size of a rumor without encoding it.
 *
 * @example
 * measureRumor({ kind: RumorKind.Load, nodeId: 'entry-1', incarnationHash, loadVersion: 3, freeCapacityRequests: 40 })
 */
export const measureRumor = (rumor: Rumor): number =>
  FRAME_BYTES + (sizers[rumor.kind] as (rumor: Rumor) => number)(rumor)
