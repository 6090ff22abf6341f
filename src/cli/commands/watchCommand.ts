import { watchRows } from '../operations/index.js'
import { BaseCommand, JSON_FLAG, LOG_FLAGS } from './baseCommand.js'

/** Task timers don't keep the process running, so the command runs an interval timer of its own. */
const KEEP_ALIVE_INTERVAL_MS = 60_000

const waitForSignal = (): Promise<void> => new Promise(resolve => {
  const keepAlive = setInterval(() => {}, KEEP_ALIVE_INTERVAL_MS)
  const stop = () => {
    clearInterval(keepAlive)
    resolve()
  }
  process.once('SIGINT', stop)
  process.once('SIGTERM', stop)
})

export class WatchCommand extends BaseCommand {
  static override summary = 'Print accepted rows as they take effect, until stopped.'
  static override examples = ['<%= config.bin %> watch', '<%= config.bin %> watch --json']
  static override flags = { ...LOG_FLAGS, json: JSON_FLAG }

  async run (): Promise<void> {
    const { flags } = await this.parse(WatchCommand)
    this.throwOnFailure(await watchRows(this.context(flags), { isJson: flags.json, waitForStop: waitForSignal }))
  }
}
