/* eslint camelcase: "off" -- the fields have the names of the platform */

// Starts the project's own programs as separate processes, with the commands of the deploy file, on the loopback address.
import { spawn } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('..', import.meta.url))
const LOOPBACK = '127.0.0.1'
const READY_WAIT_MS = 15_000
const POLL_MS = 25
/** Bounds of the small deployments, as their settings files state them. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 3000,
  ack_ms: 4000,
  sync_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  apply_ms: 2000,
  revert_slack_ms: 250,
  skew_max_ms: 5000,
  strict_revoke: false,
  revoke_ms: 5000,
  budget_ratio: 0.2,
  budget_window_s: 10,
  retry_slack: 191,
  recover_s: 12,
  pass_ms: 120,
  retry_after_s: 0,
  stall_ms: 1500,
  require_fence: false,
  ttl_max_s: 5
}

/** The disruption is left out with TROUBLE=0. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

const usedPorts = new Set()

/** A port that is free for TCP and for UDP. */
export const freePort = async () => {
  for (;;) {
    const server = createServer()
    await new Promise(resolve => server.listen(0, LOOPBACK, resolve))
    const { port } = server.address()
    const socket = createSocket('udp4')
    const isFree = await new Promise(resolve => {
      socket.once('error', () => resolve(false))
      socket.bind(port, LOOPBACK, () => resolve(true))
    })
    if (isFree) await new Promise(resolve => socket.close(resolve))
    await new Promise(resolve => server.close(resolve))
    if (!isFree || usedPorts.has(port)) continue
    usedPorts.add(port)
    return port
  }
}

export const freeAddress = async () => `${LOOPBACK}:${await freePort()}`

/** Words of the command that the deploy file gives for a role. */
const commandOf = role => {
  const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = deployFile.slice(deployFile.indexOf(`[roles.${role}]`))
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

const isReady = address => new Promise(resolve => {
  const request = get(`http://${address}/v1/ready`, { agent: false, timeout: 500 }, response => {
    response.resume()
    resolve(response.statusCode === 200)
  })
  request.on('error', () => resolve(false))
  request.on('timeout', () => request.destroy())
})

/** Waits until the condition holds; throws if it does not in time. */
export const until = async (condition, text, limitMs = READY_WAIT_MS) => {
  for (const startedMs = performance.now(); performance.now() - startedMs < limitMs; await wait(POLL_MS)) {
    if (await condition()) return
  }
  throw new Error(`in ${limitMs} ms not seen: ${text}`)
}

/**
 * Creates a fleet without processes; `stop` ends all that were started, by their ids.
 *
 * @example
 * const fleet = createFleet({ note, storeAddress: store.address })
 * const entry = await fleet.startEntry({ name: 'front-a-1', zone: 'zone-a', seeds: [] })
 */
export const createFleet = ({ note, storeAddress }) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const children = []

  const settingsOf = ({ name, zone, zones, seeds, listen, bounds = {} }) => ({
    node_name: name,
    role: 'entry',
    machine_class: 'front',
    serves: ['front', 'control', 'directory'],
    ip: LOOPBACK,
    zone,
    region: 'region-1',
    zones: Object.fromEntries(zones.map(known => [known, 'region-1'])),
    listen,
    port_range: [],
    seeds,
    bootstrap: true,
    loss_counts: false,
    limits: { cpu_share: 0.459, cores: 1, memory_mb: 272, max_fds: 2118, link_mbps: 490, disk_mb: 0 },
    data_dir: null,
    discovery: 'platform',
    entry: 'directory',
    heartbeat_ms: 1200,
    fault_tolerance: { machines: 1, zones: 0, regions: 0 },
    bounds: { ...BOUNDS, ...bounds },
    platform: { address: storeAddress, form: 'log', writes_per_s: 400, reads_per_s: 2000, keep_s: 300 }
  })

  const newListen = async () => ({ front: await freeAddress(), ready: await freeAddress(), control: await freeAddress(), directory: await freeAddress() })

  const startEntry = async ({ name, zone = 'zone-a', zones = [zone], seeds = [], listen, bounds }) => {
    const addresses = listen ?? await newListen()
    const settingsPath = join(folder, `${name}.json`)
    const writeSettings = nextSeeds => writeFileSync(settingsPath, JSON.stringify(settingsOf({ name, zone, zones, seeds: nextSeeds, listen: addresses, bounds })))
    writeSettings(seeds)
    const [program, ...words] = commandOf('entry')
    const output = openSync(join(folder, `${name}.log`), 'a')
    const child = spawn(program, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, BAOBABDRIFT_NODE_FILE: settingsPath }, stdio: ['ignore', output, output] })
    closeSync(output)
    const entry = { name, zone, ...addresses, child, writeSettings, hasExited: false, exited: undefined, signal: undefined }
    entry.exited = new Promise(resolve => child.once('exit', resolve)).then(() => { entry.hasExited = true })
    entry.signal = signal => {
      note(`process ${name} gets ${signal}`)
      child.kill(signal)
    }
    children.push(entry)
    note(`process ${name} started, front ${addresses.front}, control ${addresses.control}, seeds ${seeds.join(' ') || 'none'}`)
    return entry
  }

  return {
    startEntry,
    newListen,
    waitReady: entries => until(async () => (await Promise.all(entries.map(({ ready }) => isReady(ready)))).every(Boolean), 'all entries ready'),
    logOf: ({ name }) => readFileSync(join(folder, `${name}.log`), 'utf8'),
    stop: async () => {
      for (const { child, hasExited } of children) if (!hasExited) child.kill('SIGKILL')
      await Promise.all(children.map(({ exited }) => exited))
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
