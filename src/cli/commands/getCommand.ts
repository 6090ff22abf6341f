import { Args } from '@oclif/core'
import { OPERATOR_ROW_KINDS } from '../../configuration/index.js'
import { getRows } from '../operations/index.js'
import { BaseCommand, JSON_FLAG, LOG_FLAGS } from './baseCommand.js'

export class GetCommand extends BaseCommand {
  static override summary = 'Print the rows in effect with their offsets.'
  static override description = 'The YAML output can be edited and passed to apply.'
  static override examples = [
    '<%= config.bin %> get', '<%= config.bin %> get route quotes', '<%= config.bin %> get pool --json'
  ]

  static override args = {
    KIND: Args.option({ options: OPERATOR_ROW_KINDS })({ description: 'kind of the rows' }),
    NAME: Args.string({ description: 'name of one row' })
  }

  static override flags = { ...LOG_FLAGS, json: JSON_FLAG }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(GetCommand)
    this.throwOnFailure(await getRows(this.context(flags), { kind: args.KIND, name: args.NAME, isJson: flags.json }))
  }
}
