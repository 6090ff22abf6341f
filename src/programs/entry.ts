#!/usr/bin/env node
import { startEntryNode } from '../nodes/entry/createEntryNode.js'
import { entrySettingsSchema } from '../nodes/settings.js'
import { runProgram } from './runProgram.js'

await runProgram({
  name: 'baobabdrift-entry',
  schema: entrySettingsSchema,
  start: startEntryNode,
  describe: ({ nodeId }, { callerAddress, linkAddress }) => `${nodeId} serves callers on ${callerAddress}, links on ${linkAddress}`
})
