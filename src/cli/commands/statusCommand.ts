import { showStatus } from '../operations/index.js'
import { BaseCommand, ENTRY_FLAGS, JSON_FLAG } from './baseCommand.js'

export class StatusCommand extends BaseCommand {
  static override summary = 'Show entries and agents: offsets, drains, requests, limits.'
  static override description = 'Queries the given entries and the entries that they know of. An entry lags if its offset is below that of the ' +
    'last accepted edit or, without a log, below the highest offset among the entries.'

  static override examples = [
    '<%= config.bin %> status --entries 127.0.0.1:8101',
    '<%= config.bin %> status --entries 10.1.0.7:8101,10.1.1.3:8101 --log-url http://10.0.0.2:7001 --json'
  ]

  static override flags = { ...ENTRY_FLAGS, json: JSON_FLAG }

  async run (): Promise<void> {
    const { flags } = await this.parse(StatusCommand)
    this.throwOnFailure(await showStatus(this.context(flags), { isJson: flags.json }))
  }
}
