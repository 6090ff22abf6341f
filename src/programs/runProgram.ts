import { readFileSync } from 'node:fs'
import { randomBytes } from 'node:crypto'
import { parseArgs } from 'node:util'
import type { z } from 'zod'
import { createSystemClock, type Clock, exitIfAddressInUse, type Incarnation, SettingsError } from '../core/index.js'
import { loadSettings } from '../nodes/settings.js'

const EXIT_FAILURE = 1
const EXIT_SETTINGS_INVALID = 2
const INCARNATION_BYTES = 8

/** A running node; it stops once its drain has completed. */
export interface RunningNode {
  drain (): Promise<void>
}

export interface ProgramOptions<Settings, Node extends RunningNode> {
  name: string
  schema: z.ZodType<Settings>
  start: (options: { settings: Settings, clock: Clock, incarnation: Incarnation }) => Promise<Node>
  /** Returns one line that names the node's bound addresses. */
  describe: (settings: Settings, node: Node) => string
}

const readVersion = (): string => {
  const packageUrl = new URL('../../../package.json', import.meta.url)
  return (JSON.parse(readFileSync(packageUrl, 'utf8')) as { version: string }).version
}

const exitWithSettingsErrors = (path: string, error: SettingsError): never => {
  for (const fault of error.faults) console.error(`${path}: ${fault.path}: ${fault.text}`)
  process.exit(EXIT_SETTINGS_INVALID)
}

const loadOrExit = <Settings>(schema: z.ZodType<Settings>, path: string): Settings => {
  try {
    return loadSettings(schema, path)
  } catch (error) {
    if (error instanceof SettingsError) return exitWithSettingsErrors(path, error)
    throw error
  }
}

/** Drains on the first SIGTERM or SIGINT; exits immediately on the second. */
const drainOnSignal = (name: string, node: RunningNode) => {
  let isDraining = false
  const onSignal = async () => {
    if (isDraining) process.exit(EXIT_FAILURE)
    isDraining = true
    console.log(`${name}: draining`)
    await node.drain()
    console.log(`${name}: stopped`)
    process.exit(0)
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
}

/**
 * Runs a node with the settings file from the command line until a signal stops it.
 *
 * @example
 * await runProgram({ name: 'baobabdrift-entry', schema: entrySettingsSchema, start, describe })
 */
export const runProgram = async <Settings, Node extends RunningNode>({ name, schema, start, describe }: ProgramOptions<Settings, Node>): Promise<void> => {
  const usage = `usage: ${name} --settings FILE.yaml`
  const { values } = parseArgs({
    options: { settings: { type: 'string' }, help: { type: 'boolean' }, version: { type: 'boolean' } }
  })
  if (values.version) return console.log(readVersion())
  if (values.help) return console.log(usage)
  if (values.settings === undefined) {
    console.error(usage)
    process.exit(EXIT_SETTINGS_INVALID)
  }
  const settings = loadOrExit(schema, values.settings)
  const clock = createSystemClock()
  // 64 random bits keep incarnations unique over all process runs of a fleet for years.
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex')
  const node = await start({ settings, clock, incarnation }).catch(error => exitIfAddressInUse(name, error))
  drainOnSignal(name, node)
  console.log(`${name}: ${describe(settings, node)}`)
}
