import { Args, Flags } from '@oclif/core'
import { applyFiles } from '../operations/index.js'
import { BaseCommand, LOG_FLAGS } from './baseCommand.js'

export class ApplyCommand extends BaseCommand {
  static override summary = 'Append the edits that make the configuration match the files.'
  static override description = 'Shows the changes, asks for confirmation, appends the edits in order and waits for the verdict on each. ' +
    'It stops at the first edit that is not accepted. Exit codes: 0 all accepted or no changes, 1 refused or conflict, ' +
    '2 bad input or not confirmed, 3 log unavailable, 4 verdict still pending.'

  static override examples = [
    '<%= config.bin %> apply examples/kpakpo/rows.yaml',
    '<%= config.bin %> apply --yes --prune pools.yaml routes.yaml',
    'BAOBABDRIFT_LOG_URL=http://127.0.0.1:7001 <%= config.bin %> apply --yes rows.yaml'
  ]

  static override strict = false
  static override args = { FILE: Args.string({ required: true, description: 'YAML files with rows' }) }
  static override flags = {
    ...LOG_FLAGS,
    prune: Flags.boolean({ description: 'delete rows that are in none of the files' }),
    yes: Flags.boolean({ description: 'skip the confirmation prompt' })
  }

  async run (): Promise<void> {
    const { argv, flags } = await this.parse(ApplyCommand)
    const confirm = flags.yes ? async () => true : (question: string) => this.confirm(question)
    this.throwOnFailure(await applyFiles(this.context(flags), { files: argv as string[], isPruning: flags.prune, confirm }))
  }
}
