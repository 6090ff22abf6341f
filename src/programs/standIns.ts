#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { describeAddressInUse, EXIT_ADDRESS_IN_USE } from '../core/index.js'
import { startEngineStandIn, startLogStandIn, startServiceStandIn } from '../standIns/index.js'

const EXIT_BAD_INPUT = 2
const PORT_MAX = 65_535
/** Ports that the settings in examples/kpakpo refer to. */
const DEFAULT_PORTS = { log: '7001', engine: '7301', service: '7302' }

const usage = `usage: npm run stand-ins -- [--log PORT] [--engine PORT] [--service PORT]
Runs stand-ins for the platform's log, a model engine and a plain service on loopback until stopped.
They keep their state in memory. Port 0 selects a free port.
defaults: --log ${DEFAULT_PORTS.log} --engine ${DEFAULT_PORTS.engine} --service ${DEFAULT_PORTS.service}`

const exitWith = (message: string, exitCode = EXIT_BAD_INPUT): never => {
  console.error(message)
  process.exit(exitCode)
}

const parsePorts = () => {
  try {
    return parseArgs({
      options: {
        help: { type: 'boolean' },
        log: { type: 'string', default: DEFAULT_PORTS.log },
        engine: { type: 'string', default: DEFAULT_PORTS.engine },
        service: { type: 'string', default: DEFAULT_PORTS.service }
      }
    }).values
  } catch (error) {
    return exitWith(`${(error as Error).message}\n${usage}`)
  }
}

const toPort = (name: string, text: string): number => {
  const port = Number(text)
  return text !== '' && Number.isInteger(port) && port >= 0 && port <= PORT_MAX ? port : exitWith(`--${name}: ${text} is not a port`)
}

const values = parsePorts()
if (values.help) {
  console.log(usage)
  process.exit(0)
}

const starters = { log: startLogStandIn, engine: startEngineStandIn, service: startServiceStandIn }
const ports = { log: toPort('log', values.log), engine: toPort('engine', values.engine), service: toPort('service', values.service) }
const servers = await Promise.all(Object.entries(starters).map(async ([name, start]) => {
  const port = ports[name as keyof typeof ports]
  try {
    const server = await start({ port })
    console.log(`stand-ins: ${name} on ${server.url}`)
    return server
  } catch (error) {
    const inUse = describeAddressInUse(error)
    return exitWith(`stand-ins: ${name} on port ${port}: ${inUse ?? (error as Error).message}`, inUse === undefined ? EXIT_BAD_INPUT : EXIT_ADDRESS_IN_USE)
  }
}))
console.log('stand-ins: ready, stop with Ctrl-C')

const stop = async () => {
  await Promise.all(servers.map(({ close }) => close()))
  process.exit(0)
}
process.once('SIGINT', stop)
process.once('SIGTERM', stop)
