#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { startEngineStandIn, startLogStandIn, startServiceStandIn } from '../standIns/index.js'

const EXIT_BAD_INPUT = 2
const PORT_MAX = 65_535
/** Ports that the settings in examples/kpakpo refer to. */
const DEFAULT_PORTS = { log: '7001', engine: '7301', service: '7302' }

const usage = `usage: npm run stand-ins -- [--log PORT] [--engine PORT] [--service PORT]
Runs stand-ins for the platform's log, a model engine and a plain service on loopback until stopped.
They keep their state in memory. Port 0 selects a free port.
defaults: --log ${DEFAULT_PORTS.log} --engine ${DEFAULT_PORTS.engine} --service ${DEFAULT_PORTS.service}`

const exitWith = (message: string): never => {
  console.error(message)
  process.exit(EXIT_BAD_INPUT)
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
    return exitWith(`stand-ins: ${name} on port ${port}: ${(error as Error).message}`)
  }
}))
console.log('stand-ins: ready, stop with Ctrl-C')

const stop = async () => {
  await Promise.all(servers.map(({ close }) => close()))
  process.exit(0)
}
process.once('SIGINT', stop)
process.once('SIGTERM', stop)
