import { Args, Flags } from '@oclif/core'
import { diffFiles } from '../operations/index.js'
import { BaseCommand, LOG_FLAGS } from './baseCommand.js'

export class DiffCommand extends BaseCommand {
  static override summary = 'Show the changes that apply would make.'
  static override examples = ['<%= config.bin %> diff rows.yaml', '<%= config.bin %> diff --prune pools.yaml routes.yaml']
  static override strict = false
  static override args = { FILE: Args.string({ required: true, description: 'YAML files with rows' }) }
  static override flags = { ...LOG_FLAGS, prune: Flags.boolean({ description: 'show rows that are in none of the files as removed' }) }

  async run (): Promise<void> {
    const { argv, flags } = await this.parse(DiffCommand)
    this.throwOnFailure(await diffFiles(this.context(flags), { files: argv as string[], isPruning: flags.prune }))
  }
}
