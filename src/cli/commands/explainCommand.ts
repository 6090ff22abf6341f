import { Args } from '@oclif/core'
import { explainRequest } from '../operations/index.js'
import { BaseCommand, ENTRY_FLAGS } from './baseCommand.js'

export class ExplainCommand extends BaseCommand {
  static override summary = 'Show why a recent request went where it went.'
  static override description = 'The id is in the response header x-request-id. An entry remembers its last 1,000 requests.'
  static override examples = ['<%= config.bin %> explain 5f0c2a9e81d3b764-17 --entries 127.0.0.1:8101']
  static override args = { 'REQUEST-ID': Args.string({ required: true, description: 'id from the header x-request-id' }) }
  static override flags = ENTRY_FLAGS

  async run (): Promise<void> {
    const { args, flags } = await this.parse(ExplainCommand)
    this.finish(await explainRequest(this.context(flags), args['REQUEST-ID']))
  }
}
