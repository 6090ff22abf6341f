import { Args } from '@oclif/core'
import { validateFiles } from '../operations/index.js'
import { BaseCommand } from './baseCommand.js'

export class ValidateCommand extends BaseCommand {
  static override summary = 'Validate row files without access to the log.'
  static override description = 'Prints every error with its file and path. Whether the pool of a route exists is only checked when the edit is applied.'
  static override examples = ['<%= config.bin %> validate examples/kpakpo/rows.yaml']
  static override strict = false
  static override args = { FILE: Args.string({ required: true, description: 'YAML files with rows' }) }

  async run (): Promise<void> {
    const { argv } = await this.parse(ValidateCommand)
    this.throwOnFailure(validateFiles({ print: text => console.log(text) }, argv as string[]))
  }
}
