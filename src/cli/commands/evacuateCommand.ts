import { Args, Flags } from '@oclif/core'
import { evacuateDomain } from '../operations/index.js'
import { BaseCommand, LOG_FLAGS } from './baseCommand.js'

export class EvacuateCommand extends BaseCommand {
  static override summary = 'Send no further requests to the upstreams of a failure domain.'
  static override description = 'Appends an edit to the configuration stream and waits for its verdict. Requests that run already may complete; ' +
    'entries of the domain keep serving and send to upstreams elsewhere. "status" shows the evacuated domains. Exit codes: 0 accepted or in ' +
    'effect already, 1 refused or conflict, 2 bad input, 3 log unavailable, 4 verdict still pending.'

  static override examples = ['<%= config.bin %> evacuate tema-a', '<%= config.bin %> evacuate tema-a --undo']

  static override args = { DOMAIN: Args.string({ required: true, description: 'name of the failure domain' }) }
  static override flags = { ...LOG_FLAGS, undo: Flags.boolean({ description: 'let the domain serve again' }) }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(EvacuateCommand)
    this.throwOnFailure(await evacuateDomain(this.context(flags), { domain: args.DOMAIN, isUndone: flags.undo }))
  }
}
