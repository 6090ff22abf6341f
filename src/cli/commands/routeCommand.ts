import { Args, Flags } from '@oclif/core'
import { explainRoute } from '../operations/index.js'
import { BaseCommand, ENTRY_FLAGS, JSON_FLAG } from './baseCommand.js'

export class RouteCommand extends BaseCommand {
  static override summary = 'Explain where a request would go now, and why, without sending it.'
  static override description = 'Each entry chooses by what it knows, so every given entry is asked. The answer lists the route, the limits, and ' +
    'all upstreams of the pool with their load, their capacity and speed as learned from their reports, and the reason why each other one is left out. ' +
    'Nothing is sent to an upstream, and nothing counts against a limit.'

  static override examples = [
    '<%= config.bin %> route /stock/ridge-cap --customer ama-roofing --entries 127.0.0.1:8101',
    '<%= config.bin %> route /v1/completions --customer ama-roofing --body prompt.json --entries 127.0.0.1:8101 --json'
  ]

  static override args = { REQUEST: Args.string({ required: true, description: 'path of the request, with its query' }) }
  static override flags = {
    ...ENTRY_FLAGS,
    customer: Flags.string({ required: true, description: 'customer that sends the request' }),
    method: Flags.string({ description: 'method of the request; by default GET, or POST with a body' }),
    body: Flags.string({ description: 'file with the body of the request', helpValue: 'FILE' }),
    json: JSON_FLAG
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(RouteCommand)
    const { customer, method, body: bodyFile, json } = flags
    this.throwOnFailure(await explainRoute(this.context(flags), { path: args.REQUEST, customer, method, bodyFile, isJson: json }))
  }
}
