import { z } from 'zod'
import { type LogClient, type LogPage, LogUnavailableError } from '../core/index.js'
import { createJsonClient } from './httpJson.js'

export const LOG_TIMEOUT_MS = 2_000
const RECORDS_PER_PAGE = 500

const offsetSchema = z.number().int().positive()
/** The body of a record is checked by its reader, as one record that cannot be read must not hide the others. */
const recordSchema = z.object({ offset: offsetSchema, timeMs: z.number(), body: z.unknown().optional() })
  .transform(({ offset, timeMs, body }) => ({ offset, timeMs, body }))
const pageSchema = z.object({ records: z.array(recordSchema), firstOffset: offsetSchema, nextOffset: offsetSchema })
const appendedSchema = z.object({ offset: offsetSchema })

/**
 * Creates a client for the platform's log.
 *
 * @example
 * const log = createLogClient('http://127.0.0.1:7001')
 * const offset = await log.append('configuration', { editId, baseOffset: 0, row })
 */
export const createLogClient = (baseUrl: string, timeoutMs = LOG_TIMEOUT_MS): LogClient & { close (): Promise<void> } => {
  const client = createJsonClient(baseUrl, timeoutMs)

  const wrapErrors = async <T>(operation: string, promise: Promise<T>): Promise<T> => {
    try {
      return await promise
    } catch (error) {
      throw new LogUnavailableError(`log ${operation} failed: ${error instanceof Error ? error.message : error}`, { cause: error })
    }
  }

  return {
    append: async (stream, body) => {
      const path = `/streams/${encodeURIComponent(stream)}/records`
      const { offset } = await wrapErrors('append', client.call('POST', path, { body }).then(answer => appendedSchema.parse(answer)))
      return offset
    },
    read: (stream, fromOffset, recordsMax = RECORDS_PER_PAGE) => {
      const path = `/streams/${encodeURIComponent(stream)}/records?from=${fromOffset}&max=${recordsMax}`
      return wrapErrors('read', client.call('GET', path).then((answer): LogPage => pageSchema.parse(answer)))
    },
    close: () => client.close()
  }
}
