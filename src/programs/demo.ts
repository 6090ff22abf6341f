#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { runDemo } from '../demo/runDemo.js'

const DEFAULT_SEED = 1

const { values } = parseArgs({ options: { help: { type: 'boolean' }, seed: { type: 'string' } } })
if (values.help) {
  console.log('usage: npm run demo [-- --seed N]\nRuns entries, agents and stand-ins on loopback for less than a minute.')
  process.exit(0)
}
const hasPassed = await runDemo({ seed: Number(values.seed ?? DEFAULT_SEED), print: line => console.log(line) })
process.exit(hasPassed ? 0 : 1)
