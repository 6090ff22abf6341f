import { Args, Flags } from '@oclif/core'
import { explainFromLogs, explainRequest } from '../operations/index.js'
import { BaseCommand, ENTRY_FLAGS } from './baseCommand.js'

export class ExplainCommand extends BaseCommand {
  static override summary = 'Show how and why a recent request was routed.'
  static override description = 'The id is in the response header x-request-id. Each entry keeps a record of its last 1,000 requests. ' +
    'With --logs the history of a request is read from collected log files instead; the id may also be the one that the caller set.'

  static override examples = [
    '<%= config.bin %> explain 5f0c2a9e81d3b764-17 --entries 127.0.0.1:8101',
    '<%= config.bin %> explain 9c41d07be2a35f68 --logs entry-1.log --logs entry-2.log'
  ]

  static override args = { 'REQUEST-ID': Args.string({ required: true, description: 'id from the header x-request-id' }) }
  static override flags = {
    ...ENTRY_FLAGS,
    logs: Flags.string({ multiple: true, description: 'collected log file; can be repeated' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(ExplainCommand)
    const id = args['REQUEST-ID']
    this.throwOnFailure(flags.logs === undefined
      ? await explainRequest(this.context(flags), id)
      : explainFromLogs({ print: text => console.log(text) }, flags.logs, id))
  }
}
