import { rankByRendezvous } from '../core/index.js'
import { READER_SILENCE_MS, READERS_MIN, SourceKind, WATCHING_ZONES } from './constants.js'
import type { RecordSource } from './types.js'

/** An entry of the own zone, as last reported. */
export interface ReaderCandidate {
  nodeId: string
  /** `ip:port` on which the entry passes on records. */
  address: string
  /** Whether it has the state of all topics. */
  isReady: boolean
  /** Whether its last call to the store succeeded. */
  isStoreConnected: boolean
  /** Time since its last report, in ms. */
  ageMs: number
}

export interface ReaderChoice {
  zone: string
  /** Number of live zones, this one included. */
  zones: number
  self: Omit<ReaderCandidate, 'ageMs' | 'address'>
  peers: readonly ReaderCandidate[]
}

/** Readers of a zone, the first one first, with all entries that may be readers. */
const rankReaders = ({ zone, zones, self, peers }: ReaderChoice) => {
  const ready = [{ ...self, address: undefined }, ...peers.filter(({ ageMs }) => ageMs <= READER_SILENCE_MS)].filter(({ isReady }) => isReady)
  const connected = ready.filter(({ isStoreConnected }) => isStoreConnected)
  const candidates = connected.length > 0 ? connected : ready
  const readers = rankByRendezvous(`reader/${zone}`, candidates.map(({ nodeId }) => nodeId)).slice(0, Math.ceil(READERS_MIN / zones))
  return { readers, candidates }
}

/**
 * Whether an entry must notice by itself that its connections to the store have fallen silent: a few readers must, as those
 * of all readers may fall silent together, and an entry that knows no reader.
 *
 * @example
 * mustWatchConnection({ zone: 'a', zones: 3, zoneRank: 0, self, peers })
 */
export const mustWatchConnection = (choice: ReaderChoice & { zoneRank: number }): boolean => {
  const [first] = rankReaders(choice).readers
  return first === undefined || (first === choice.self.nodeId && choice.zoneRank < WATCHING_ZONES)
}

/**
 * Chooses from where an entry reads the store's records: it reads them itself if it is a reader of its zone, and gets
 * them from a reader otherwise. Entries that have lost the store are passed over, unless all of the zone have.
 *
 * @example
 * chooseReader({ zone: 'a', zones: 3, self, peers }) // { kind: SourceKind.Entry, address: '10.1.0.40:8229' }
 */
export const chooseReader = (choice: ReaderChoice): RecordSource => {
  const { self } = choice
  const { readers, candidates } = rankReaders(choice)
  if (readers.length === 0 || readers.includes(self.nodeId)) return { kind: SourceKind.Store }
  // Spreads the entries of the zone over its readers.
  const [readerId] = rankByRendezvous(`reader/${self.nodeId}`, readers)
  return { kind: SourceKind.Entry, address: candidates.find(({ nodeId }) => nodeId === readerId)!.address! }
}
