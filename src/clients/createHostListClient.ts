import { z } from 'zod'
import { createJsonClient } from './httpJson.js'
import { type HostListEntry, HostState } from '../membership/index.js'

const HOST_LIST_TIMEOUT_MS = 2_000

const hostListSchema = z.array(z.object({
  address: z.string(),
  failureDomain: z.string(),
  state: z.enum(HostState)
}))

/**
 * Creates a client for the platform's host list.
 *
 * @example
 * const hosts = await createHostListClient('http://127.0.0.1:7002').read()
 */
export const createHostListClient = (baseUrl: string) => {
  const client = createJsonClient(baseUrl, HOST_LIST_TIMEOUT_MS)
  return {
    read: async (): Promise<HostListEntry[]> => hostListSchema.parse(await client.call('GET', '/hosts')),
    close: () => client.close()
  }
}
