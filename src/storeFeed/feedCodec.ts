import { isLogPosition, type LogPosition, packText, unpackText } from '../core/index.js'
import type { EntryAddress } from '../peers/index.js'
import type { KeyedRecord, RecordPage } from './types.js'

/**
 * A record as sent between processes. The value is text if its bytes are UTF-8, which compresses better, and base64
 * otherwise; a deleted key has neither.
 */
interface WireRecord extends LogPosition { key: string, text?: string, base64?: string, isLost?: boolean }

interface WirePage { records: WireRecord[], end: LogPosition, sinceRecoveryMs?: number }

/** Paths of the server from which other processes get records and addresses of entries. */
export enum FeedPath {
  /** `?topic=NAME` lists; with `era`, `from` and `wait_ms` a long poll for the records from an offset of an era on. */
  Records = '/records',
  /** `?zone=NAME`: addresses of the ready entries of a zone. */
  Entries = '/entries'
}

const toWireValue = (value: Uint8Array): Pick<WireRecord, 'text' | 'base64'> => {
  const bytes = Buffer.from(value.buffer, value.byteOffset, value.byteLength)
  const text = bytes.toString('utf8')
  return Buffer.from(text).equals(bytes) ? { text } : { base64: bytes.toString('base64') }
}

const toWire = ({ key, value, era, offset, isLost }: KeyedRecord): WireRecord =>
  ({ key, era, offset, ...(value === undefined ? {} : toWireValue(value)), ...(isLost === true ? { isLost } : {}) })

const fromWire = ({ key, text, base64, era, offset, isLost }: WireRecord): KeyedRecord => {
  const value = text !== undefined ? Buffer.from(text) : base64 !== undefined ? Buffer.from(base64, 'base64') : undefined
  return { key, value, era, offset, ...(isLost === true ? { isLost } : {}) }
}

const isOptionalText = (value: unknown) => value === undefined || typeof value === 'string'

const isWireRecord = (value: unknown): value is WireRecord => {
  const { key, text, base64 } = (value ?? {}) as Partial<WireRecord>
  return typeof key === 'string' && isOptionalText(text) && isOptionalText(base64) && isLogPosition(value)
}

const isWirePage = (value: unknown): value is WirePage => {
  const { records, end, sinceRecoveryMs = 0 } = (value ?? {}) as Partial<WirePage>
  return Array.isArray(records) && records.every(isWireRecord) && isLogPosition(end) && Number.isFinite(sinceRecoveryMs)
}

/** A page expands to at most this size; it holds the state of a topic at most. */
const PAGE_BYTES_MAX = 32 * 1024 * 1024

/**
 * Encodes the response to a list or read. A large configuration is compressed: its reader sends it to every process of the
 * zone over one link.
 *
 * @example
 * response.end(encodePage({ records, end }))
 */
export const encodePage = ({ records, end, sinceRecoveryMs }: Omit<RecordPage, 'records'> & { records: readonly KeyedRecord[] }): Buffer =>
  packText(JSON.stringify({ records: records.map(toWire), end, sinceRecoveryMs }))

/**
 * Decodes the response to a list or read.
 *
 * @throws SyntaxError or TypeError if it is malformed
 * @example
 * decodePage(body).records
 */
export const decodePage = (body: Buffer): RecordPage => {
  const page: unknown = JSON.parse(unpackText(body, PAGE_BYTES_MAX))
  if (!isWirePage(page)) throw new TypeError('page of records is malformed')
  return { records: page.records.map(fromWire), end: page.end, sinceRecoveryMs: page.sinceRecoveryMs }
}

/**
 * Decodes a list of entry addresses.
 *
 * @throws SyntaxError or TypeError if it is malformed
 * @example
 * decodeEntryAddresses(body).map(({ address }) => address)
 */
export const decodeEntryAddresses = (body: Buffer): EntryAddress[] => {
  const entries: unknown = JSON.parse(body.toString('utf8'))
  const isValid = Array.isArray(entries) && entries.every(entry => typeof entry?.address === 'string' && typeof entry?.zone === 'string')
  if (!isValid) throw new TypeError('list of entries is malformed')
  return entries as EntryAddress[]
}
