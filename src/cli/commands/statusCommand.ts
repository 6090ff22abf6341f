import { showStatus } from '../operations/index.js'
import { BaseCommand, ENTRY_FLAGS, JSON_FLAG } from './baseCommand.js'

export class StatusCommand extends BaseCommand {
  static override summary = 'Show entries and agents: offsets, drains, requests, limits.'
  static override description = 'Asks the given entries and those that they know. An entry lags if it stands below the last accepted edit; ' +
    'without a log, below the highest offset among the entries.'

  static override examples = [
    '<%= config.bin %> status --entries 127.0.0.1:8101',
    '<%= config.bin %> status --entries 10.1.0.7:8101,10.1.1.3:8101 --log-url http://10.0.0.2:7001 --json'
  ]

  static override flags = { ...ENTRY_FLAGS, json: JSON_FLAG }

  async run (): Promise<void> {
    const { flags } = await this.parse(StatusCommand)
    this.finish(await showStatus(this.context(flags), { isJson: flags.json }))
  }
}
