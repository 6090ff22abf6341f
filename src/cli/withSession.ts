import { createSystemClock } from '../core/index.js'
import { createLogClient } from '../clients/index.js'
import { type CliSettings, requireLogUrl } from './cliSettings.js'
import { type ConfigurationSession, createConfigurationSession } from './configurationSession.js'

/**
 * Reads the configuration stream to its end, runs a function on the session and closes it.
 *
 * @example
 * const rows = await withSession(settings, async session => session.rows())
 * @throws LogUnavailableError if the end of the stream is not reached within the timeout
 */
export const withSession = async <T>(settings: CliSettings, run: (session: ConfigurationSession) => Promise<T>): Promise<T> => {
  const client = createLogClient(requireLogUrl(settings))
  const session = createConfigurationSession({ client, clock: createSystemClock(), timeoutMs: settings.timeoutMs })
  try {
    await session.readToEnd()
    return await run(session)
  } finally {
    session.close()
    await client.close()
  }
}
