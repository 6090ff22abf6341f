import { packText, unpackText } from '../../core/index.js'
import { fromMapDelta, type MapDelta, type RankOrder, RankOrderKind, type ReplicaMap, toMapDelta, type VersionedMap } from '../../expertMaps/index.js'
import { AgentMessageKind, type AgentMessage } from './types.js'

/** A compressed message from outside may not expand without bound. */
const MESSAGE_BYTES_MAX = 1024 * 1024
/** Maps that a receiver remembers: those of the last switches, called-off ones included. */
export const KNOWN_MAPS_MAX = 8

type OrderMessage = Extract<AgentMessage, { kind: AgentMessageKind.Order }>
type PrepareOrder = Extract<RankOrder, { kind: RankOrderKind.Prepare }>

/** An order to prepare a map as sent: the map goes to every rank of the group, so only its differences are sent. */
interface SentPrepare {
  kind: RankOrderKind.Prepare
  version: number
  delta: MapDelta
  /** Version of the map from which the differences are; without one, they are from the usual map. */
  baseVersion?: number
}

type SentOrder = Exclude<RankOrder, PrepareOrder> | SentPrepare
type SentMessage = Exclude<AgentMessage, OrderMessage> | (Omit<OrderMessage, 'order'> & { order: SentOrder })

/** Encodes and decodes the messages of one agent, each as one datagram. */
export interface AgentCodec {
  encode (message: AgentMessage): Buffer
  /** Throws Error, SyntaxError or TypeError if the bytes are no valid message. */
  decode (bytes: Buffer): AgentMessage
}

const KINDS: ReadonlySet<unknown> = new Set(Object.values(AgentMessageKind))

/**
 * Creates the codec of one agent. It remembers the maps of orders, as those of later orders are sent as differences from them.
 *
 * @example
 * const codec = createAgentCodec()
 * codec.decode(codec.encode({ kind: AgentMessageKind.Alive, group: 'g1', rank: 0 })).kind
 */
export const createAgentCodec = (): AgentCodec => {
  const knownMaps = new Map<number, ReplicaMap>()
  /** The same map is sent to every rank; its differences are computed once. */
  let lastDelta: { map: ReplicaMap, base: ReplicaMap | undefined, delta: MapDelta } | undefined

  const deltaOf = (map: ReplicaMap, base: VersionedMap | undefined): MapDelta => {
    if (lastDelta?.map !== map || lastDelta.base !== base?.map) lastDelta = { map, base: base?.map, delta: toMapDelta(map, base?.map) }
    return lastDelta.delta
  }

  const remember = (version: number, map: ReplicaMap) => {
    knownMaps.delete(version)
    knownMaps.set(version, map)
    if (knownMaps.size > KNOWN_MAPS_MAX) knownMaps.delete(knownMaps.keys().next().value!)
  }

  const toSent = (message: AgentMessage): SentMessage => {
    if (message.kind !== AgentMessageKind.Order || message.order.kind !== RankOrderKind.Prepare) return message as SentMessage
    const { kind, version, map, base } = message.order
    // This agent executes its own order directly, and another coordinator may refer to the map later.
    remember(version, map)
    return { ...message, order: { kind, version, delta: deltaOf(map, base), ...(base === undefined ? {} : { baseVersion: base.version }) } }
  }

  /** Undefined if the base is not known here. */
  const restoreMap = ({ version, delta, baseVersion }: SentPrepare): ReplicaMap | undefined => {
    const base = baseVersion === undefined ? undefined : knownMaps.get(baseVersion)
    if (baseVersion !== undefined && base === undefined) return undefined
    const map = fromMapDelta(delta, base)
    remember(version, map)
    return map
  }

  const fromSent = (message: SentMessage): AgentMessage => {
    if (message.kind !== AgentMessageKind.Order || message.order.kind !== RankOrderKind.Prepare) return message as AgentMessage
    const { order: { kind, version }, group, rank, switchId, orderId } = message
    const map = restoreMap(message.order)
    if (map === undefined) return { kind: AgentMessageKind.UnknownBase, group, rank, switchId, orderId }
    return { ...message, order: { kind, version, map } }
  }

  return {
    encode: message => packText(JSON.stringify(toSent(message))),
    decode: bytes => {
      const message = JSON.parse(unpackText(bytes, MESSAGE_BYTES_MAX)) as SentMessage
      const isValid = KINDS.has(message?.kind) && Number.isInteger(message.rank) && typeof message.group === 'string'
      if (!isValid) throw new TypeError('message has an unknown kind, or no valid rank or group')
      return fromSent(message)
    }
  }
}
