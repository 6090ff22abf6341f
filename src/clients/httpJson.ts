import { Pool } from 'undici'
import { BaobabdriftError, ResultCode } from '../core/index.js'
import { isFramingValid } from '../upstreams/index.js'
import { framingFields } from './framingFields.js'

/** An HTTP client for JSON requests to one base URL, with a connection pool and a timeout. */
export interface JsonClient {
  /** Returns the decoded body of a 2xx response; throws BaobabdriftError for other status codes. */
  call<T> (method: 'GET' | 'POST', path: string, body?: unknown): Promise<T>
  close (): Promise<void>
}

const CONNECTIONS_MAX = 8
const ERROR_TEXT_MAX = 200

/**
 * Creates a JSON client for one base URL.
 *
 * @example
 * const client = createJsonClient('http://127.0.0.1:7001', 2_000)
 * const page = await client.call<LogPage>('GET', '/streams/configuration/records?from=1')
 */
export const createJsonClient = (baseUrl: string, timeoutMs: number, connections = CONNECTIONS_MAX): JsonClient => {
  const pool = new Pool(baseUrl, {
    connections, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, connect: { timeout: timeoutMs }
  })
  return {
    call: async <T>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<T> => {
      const response = await pool.request({
        method,
        path,
        ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
      })
      // The library passes on what it cannot decode.
      if (!isFramingValid(framingFields(name => response.headers[name]))) {
        // The library reports the end of a body that nobody reads as an error.
        response.body.on('error', () => {}).destroy()
        throw new BaobabdriftError(ResultCode.UpstreamRefused, `${method} ${path}: the response is malformed`)
      }
      if (response.statusCode >= 200 && response.statusCode < 300) return await response.body.json() as T
      const text = (await response.body.text()).slice(0, ERROR_TEXT_MAX)
      throw new BaobabdriftError(ResultCode.UpstreamRefused, `${method} ${path}: status ${response.statusCode} ${text}`)
    },
    close: () => pool.destroy()
  }
}
