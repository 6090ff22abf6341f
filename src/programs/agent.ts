#!/usr/bin/env node
import { startAgentNode } from '../nodes/agent/createAgentNode.js'
import { agentSettingsSchema } from '../nodes/settings.js'
import { runProgram } from './runProgram.js'

await runProgram({
  name: 'baobabdrift-agent',
  schema: agentSettingsSchema,
  start: startAgentNode,
  describe: ({ nodeId, pool }, { linkAddress }) => `${nodeId} serves pool ${pool}, links on ${linkAddress}`
})
