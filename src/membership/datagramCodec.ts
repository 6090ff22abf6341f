import { createHmac, timingSafeEqual } from 'node:crypto'
import { Encoder } from 'cbor-x'
import { FrameError } from '../core/index.js'
import { type FleetKey, NodeRole, peerIdentitySchema } from '../links/index.js'
import {
  BROADCAST_PAYLOAD_BYTES_MAX, BroadcastTopic, DATAGRAM_BYTES_MAX, DatagramKind, KEY_ID_BYTES_MAX, MAC_BYTES,
  MemberStatus, RumorKind, SYNC_BUCKETS
} from './constants.js'
import type { Datagram, MemberRecord, Rumor } from './types.js'

// Layout: format version, length of the key id, key id, MAC, CBOR body. Enum members are encoded as
// their position and objects as arrays, because field names would double the size of a rumor.
const FORMAT_VERSION = 1
const DIGEST_BYTES = (SYNC_BUCKETS + 1) * 4
const TEXT_LENGTH_MAX = 256

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

const ROLES = Object.values(NodeRole)
const STATUSES = Object.values(MemberStatus)
const TOPICS = Object.values(BroadcastTopic)
const RUMOR_KINDS = Object.values(RumorKind)
const DATAGRAM_KINDS = Object.values(DatagramKind)

const fail = (detail: string): never => { throw new FrameError(detail) }

const toText = (value: unknown): string =>
  typeof value === 'string' && value.length > 0 && value.length <= TEXT_LENGTH_MAX ? value : fail('invalid text')
const toOptionalText = (value: unknown): string | undefined =>
  value === undefined || value === null ? undefined : toText(value)
const toCount = (value: unknown): number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 ? value : fail('invalid number')
const toList = (value: unknown): unknown[] => Array.isArray(value) ? value : fail('invalid list')
const toBytes = (value: unknown, bytesMax: number): Uint8Array =>
  value instanceof Uint8Array && value.length <= bytesMax ? Uint8Array.from(value) : fail('invalid bytes')
const toMember = <T>(members: readonly T[], value: unknown): T => members[toCount(value)] ?? fail('invalid enum member')

const optionalField = (name: string, value: unknown) => value === null || value === undefined ? {} : { [name]: value }

const packRecord = ({ identity, ...record }: MemberRecord) => [
  identity.nodeId, identity.incarnation, ROLES.indexOf(identity.role), identity.address, identity.failureDomain,
  identity.pool ?? null, record.version, STATUSES.indexOf(record.status), record.isDraining ? 1 : 0,
  record.freeCapacityRequests, record.loadVersion, record.announcerId ?? null, identity.callerAddress ?? null,
  identity.group ?? null, identity.rank ?? null
]

const unpackRecord = (fields: unknown[]): MemberRecord => {
  const parsed = peerIdentitySchema.safeParse({
    nodeId: fields[0],
    incarnation: fields[1],
    role: toMember(ROLES, fields[2]),
    address: fields[3],
    failureDomain: fields[4],
    ...optionalField('pool', fields[5]),
    ...optionalField('callerAddress', fields[12]),
    ...optionalField('group', fields[13]),
    ...optionalField('rank', fields[14])
  })
  if (!parsed.success) return fail('invalid identity')
  const announcerId = toOptionalText(fields[11])
  return {
    identity: parsed.data,
    version: toCount(fields[6]),
    status: toMember(STATUSES, fields[7]),
    isDraining: toCount(fields[8]) === 1,
    freeCapacityRequests: toCount(fields[9]),
    loadVersion: toCount(fields[10]),
    ...(announcerId === undefined ? {} : { announcerId })
  }
}

type RumorOf<Kind extends RumorKind> = Extract<Rumor, { kind: Kind }>
type RumorCodecs = {
  [Kind in RumorKind]: { pack: (rumor: RumorOf<Kind>) => unknown[], unpack: (fields: unknown[]) => RumorOf<Kind> }
}

const rumorCodecs: RumorCodecs = {
  [RumorKind.Record]: {
    pack: ({ record }) => packRecord(record),
    unpack: fields => ({ kind: RumorKind.Record, record: unpackRecord(fields) })
  },
  [RumorKind.Status]: {
    pack: rumor => [
      rumor.nodeId, rumor.incarnationHash, rumor.version, STATUSES.indexOf(rumor.status), rumor.isDraining ? 1 : 0,
      rumor.announcerId ?? null
    ],
    unpack: fields => {
      const announcerId = toOptionalText(fields[5])
      return {
        kind: RumorKind.Status,
        nodeId: toText(fields[0]),
        incarnationHash: toCount(fields[1]),
        version: toCount(fields[2]),
        status: toMember(STATUSES, fields[3]),
        isDraining: toCount(fields[4]) === 1,
        ...(announcerId === undefined ? {} : { announcerId })
      }
    }
  },
  [RumorKind.Load]: {
    pack: rumor => [rumor.nodeId, rumor.incarnationHash, rumor.loadVersion, rumor.freeCapacityRequests],
    unpack: fields => ({
      kind: RumorKind.Load,
      nodeId: toText(fields[0]),
      incarnationHash: toCount(fields[1]),
      loadVersion: toCount(fields[2]),
      freeCapacityRequests: toCount(fields[3])
    })
  },
  [RumorKind.Broadcast]: {
    pack: rumor => [TOPICS.indexOf(rumor.topic), rumor.id, rumor.payload, rumor.remainingMs],
    unpack: fields => ({
      kind: RumorKind.Broadcast,
      topic: toMember(TOPICS, fields[0]),
      id: toText(fields[1]),
      payload: toBytes(fields[2], BROADCAST_PAYLOAD_BYTES_MAX),
      remainingMs: toCount(fields[3])
    })
  }
}

const packRumor = (rumor: Rumor): unknown[] => {
  const { pack } = rumorCodecs[rumor.kind] as { pack: (rumor: Rumor) => unknown[] }
  return [RUMOR_KINDS.indexOf(rumor.kind), ...pack(rumor)]
}

const unpackRumor = (value: unknown): Rumor => {
  const [kind, ...fields] = toList(value)
  return rumorCodecs[toMember(RUMOR_KINDS, kind)].unpack(fields)
}

type DatagramOf<Kind extends DatagramKind> = Extract<Datagram, { kind: Kind }>
/** Fields of a datagram besides its kind, sender and rumors. */
type OwnFields<Kind extends DatagramKind> = Omit<DatagramOf<Kind>, 'kind' | 'fromId' | 'rumors'>
type DatagramCodecs = {
  [Kind in DatagramKind]: {
    pack: (datagram: DatagramOf<Kind>) => unknown[]
    unpack: (fields: unknown[]) => OwnFields<Kind>
  }
}

const toDigest = (value: unknown) => {
  const digest = toBytes(value, DIGEST_BYTES)
  return digest.length === DIGEST_BYTES ? digest : fail('invalid digest')
}

const datagramCodecs: DatagramCodecs = {
  [DatagramKind.Ping]: { pack: ({ sequence }) => [sequence], unpack: ([sequence]) => ({ sequence: toCount(sequence) }) },
  [DatagramKind.Ack]: { pack: ({ sequence }) => [sequence], unpack: ([sequence]) => ({ sequence: toCount(sequence) }) },
  [DatagramKind.PingRequest]: {
    pack: ({ sequence, targetAddress }) => [sequence, targetAddress],
    unpack: ([sequence, address]) => ({ sequence: toCount(sequence), targetAddress: toText(address) })
  },
  [DatagramKind.Gossip]: { pack: () => [], unpack: () => ({}) },
  [DatagramKind.SyncRequest]: {
    pack: ({ digest, fromBucket, listedBuckets, rowHashes }) => [digest, fromBucket, listedBuckets, rowHashes],
    unpack: ([digest, fromBucket, listedBuckets, rowHashes]) => ({
      digest: toDigest(digest),
      fromBucket: toCount(fromBucket),
      listedBuckets: toCount(listedBuckets),
      rowHashes: toBytes(rowHashes, DATAGRAM_BYTES_MAX)
    })
  },
  [DatagramKind.SyncPage]: {
    // Shifted by one, because counts can't be negative and -1 marks the last page.
    pack: ({ nextBucket }) => [nextBucket + 1],
    unpack: ([nextBucket]) => ({ nextBucket: toCount(nextBucket) - 1 })
  }
}

const signBody = (key: FleetKey, header: Uint8Array, body: Uint8Array): Buffer =>
  createHmac('sha256', key.secret).update(header).update(body).digest().subarray(0, MAC_BYTES)

/** Encodes datagrams to authenticated bytes and decodes them. */
export interface DatagramCodec {
  /** @throws FrameError if there is no key or the result exceeds DATAGRAM_BYTES_MAX */
  encode (datagram: Datagram): Buffer
  /** @throws FrameError on a wrong MAC or malformed, truncated or oversize bytes */
  decode (bytes: Buffer): Datagram
}

/**
 * Creates the codec of one fleet. The first key signs; all keys are accepted, so that keys can be rotated.
 *
 * @example
 * const codec = createDatagramCodec([newKey, oldKey])
 * socket.send(codec.encode(datagram), port, host)
 */
export const createDatagramCodec = (keys: readonly FleetKey[]): DatagramCodec => {
  const keysById = new Map(keys.map(key => [key.keyId, key]))
  const signingKey = keys[0]

  const encode = (datagram: Datagram): Buffer => {
    if (signingKey === undefined) return fail('no fleet key')
    const keyId = Buffer.from(signingKey.keyId)
    if (keyId.length > KEY_ID_BYTES_MAX) return fail('key id is too long')
    const header = Buffer.concat([Buffer.from([FORMAT_VERSION, keyId.length]), keyId])
    const { pack } = datagramCodecs[datagram.kind] as { pack: (datagram: Datagram) => unknown[] }
    const body = encoder.encode([
      DATAGRAM_KINDS.indexOf(datagram.kind), datagram.fromId, datagram.rumors.map(packRumor), ...pack(datagram)
    ])
    const bytes = Buffer.concat([header, signBody(signingKey, header, body), body])
    return bytes.length <= DATAGRAM_BYTES_MAX ? bytes : fail(`datagram of ${bytes.length} bytes exceeds the limit`)
  }

  const verifyEnvelope = (bytes: Buffer): Buffer => {
    if (bytes.length > DATAGRAM_BYTES_MAX) return fail('oversize datagram')
    if (bytes[0] !== FORMAT_VERSION) return fail('unknown format version')
    const headerBytes = 2 + (bytes[1] ?? 0)
    if (bytes.length <= headerBytes + MAC_BYTES) return fail('truncated datagram')
    const header = bytes.subarray(0, headerBytes)
    const mac = bytes.subarray(headerBytes, headerBytes + MAC_BYTES)
    const body = bytes.subarray(headerBytes + MAC_BYTES)
    const key = keysById.get(header.subarray(2).toString()) ?? fail('unknown key id')
    return timingSafeEqual(mac, signBody(key, header, body)) ? body : fail('wrong MAC')
  }

  const decodeBody = (body: Buffer): unknown => {
    try {
      return encoder.decode(body)
    } catch (error) {
      throw new FrameError('datagram body is not CBOR', { cause: error })
    }
  }

  const decode = (bytes: Buffer): Datagram => {
    const [kindIndex, fromId, rumors, ...fields] = toList(decodeBody(verifyEnvelope(bytes)))
    const kind = toMember(DATAGRAM_KINDS, kindIndex)
    const base = { kind, fromId: toText(fromId), rumors: toList(rumors).map(unpackRumor) }
    return { ...base, ...datagramCodecs[kind].unpack(fields) } as Datagram
  }

  return { encode, decode }
}
