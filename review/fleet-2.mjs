/**
 * Stand-ins and process control for the scripts of the second review: a store, workers, callers, and the project's
 * own programs started with the commands of the deploy file. All addresses are loopback addresses.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer, request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export const HELD = 0
/** Not 1, with which Node ends after an error; run.sh exits with 1 for it. */
export const BROKEN = 3
export const COULD_NOT_RUN = 2
export const hasTrouble = process.env.TROUBLE !== '0'

const START_MAX_MS = 30_000
/** The program's exit code if an address is in use. */
const EXIT_ADDRESS_IN_USE = 5
const LONG_POLL_MAX_MS = 30_000
const OFFSET_BYTES = 8

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Waits until the condition holds; throws after `maxMs`. */
export const until = async (condition, maxMs, what) => {
  const startedMs = performance.now()
  while (!await condition()) {
    if (performance.now() - startedMs > maxMs) throw new Error(`timed out: ${what}`)
    await sleep(20)
  }
}

/** Opens the record of a case; each line has the time since its start. */
export const openRecord = folder => {
  const path = join(folder, 'record.txt')
  writeFileSync(path, '')
  const startedMs = performance.now()
  return text => appendFileSync(path, `${((performance.now() - startedMs) / 1000).toFixed(3)} ${text}\n`)
}

const listen = (server, host = '127.0.0.1', port = 0) => new Promise((resolve, reject) => {
  server.once('error', reject)
  server.listen(port, host, () => resolve(server.address().port))
})

/** Below the ports from which the operating system chooses those of clients, so that no client takes the port of a stopped entry. */
const PORT_MIN = 15_000
const PORT_MAX = 32_000

/** Returns a port that is free now. */
const freePort = async () => {
  for (;;) {
    const server = createServer()
    const port = PORT_MIN + Math.floor(Math.random() * (PORT_MAX - PORT_MIN))
    const isFree = await listen(server, '127.0.0.1', port).then(() => true, () => false)
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    return port
  }
}

/** The platform's names have underscores. */
const toWire = value => {
  if (Array.isArray(value)) return value.map(toWire)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).map(([key, field]) => [key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`), toWire(field)]))
}

const encodeRecord = (key, value) => {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

/** The platform's store: keyed topics, which are listed by key and read by long polling. */
export const startStore = async () => {
  const topics = new Map()
  const topicOf = name => {
    if (!topics.has(name)) topics.set(name, { records: [], newest: new Map(), waiting: new Set() })
    return topics.get(name)
  }

  const respond = (response, status, type, body) => {
    response.writeHead(status, { 'content-type': type, 'content-length': body.length, 'store-era': '1' })
    response.end(body)
  }
  const respondWithNewest = (response, { records, newest }) => {
    const items = [...newest].map(([key, { value, offset }]) => ({ key, value: value.toString('base64'), offset }))
    respond(response, 200, 'application/json', Buffer.from(JSON.stringify(toWire({ items, hasMore: false, end: records.length }))))
  }
  const respondWithRecords = (response, { records }, from) => {
    const head = Buffer.alloc(2 * OFFSET_BYTES)
    head.writeBigUInt64BE(BigInt(records.length))
    respond(response, 200, 'application/octet-stream', Buffer.concat([head, ...records.slice(from)]))
  }
  const read = (response, topic, from, waitMs) => {
    if (topic.records.length > from || waitMs === 0) return respondWithRecords(response, topic, from)
    const finish = () => {
      clearTimeout(timer)
      topic.waiting.delete(finish)
      respondWithRecords(response, topic, from)
    }
    const timer = setTimeout(finish, Math.min(waitMs, LONG_POLL_MAX_MS))
    topic.waiting.add(finish)
    response.on('close', () => {
      clearTimeout(timer)
      topic.waiting.delete(finish)
    })
  }

  const server = createHttpServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const topic = topicOf(searchParams.get('topic'))
    if (pathname === '/v1/log-newest') respondWithNewest(response, topic)
    else if (pathname === '/v1/log-read') read(response, topic, Number(searchParams.get('from')), Number(searchParams.get('wait_ms') ?? 0))
    else respond(response, 404, 'text/plain', Buffer.alloc(0))
  })
  const port = await listen(server)

  return {
    address: `127.0.0.1:${port}`,
    put: (name, key, value) => {
      const topic = topicOf(name)
      const bytes = Buffer.from(JSON.stringify(toWire(value)))
      topic.newest.set(key, { value: bytes, offset: topic.records.length })
      topic.records.push(encodeRecord(key, bytes))
      for (const finish of [...topic.waiting]) finish()
    },
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Reads one request from the text of a connection; undefined while it is incomplete. */
const parseRequest = text => {
  const end = text.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [line, ...fields] = text.slice(0, end).split('\r\n')
  const headers = Object.fromEntries(fields.map(field => {
    const at = field.indexOf(':')
    return [field.slice(0, at).toLowerCase(), field.slice(at + 1).trim()]
  }))
  const bytes = end + 4 + Number(headers['content-length'] ?? 0)
  if (text.length < bytes) return undefined
  const [method, path] = line.split(' ')
  return { method, path, headers, body: text.slice(end + 4, bytes), bytes }
}

/** A worker; `serve(socket, request)` writes the answer. A request for another worker gets 421, as does one after a change of id. */
export const startWorker = async ({ host = '127.0.0.1', workerId, serve }) => {
  const sockets = new Set()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    let text = ''
    socket.on('data', bytes => {
      text += bytes.toString('latin1')
      for (let request = parseRequest(text); request !== undefined; request = parseRequest(text)) {
        text = text.slice(request.bytes)
        const expected = request.headers['expect-instance']
        if (expected === undefined || expected === workerId) serve(socket, request)
        else socket.write(`HTTP/1.1 421 Misdirected\r\nAttempt-Id: ${request.headers['attempt-id']}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
      }
    })
  })
  const port = await listen(server, host)
  const stop = () => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return {
    address: `${host}:${port}`,
    workerId,
    /** Ends as a crashed process does, and listens again after `downMs`. */
    crash: async downMs => {
      stop()
      await sleep(downMs)
      await listen(server, host, port)
    },
    close: stop
  }
}

export const headOf = (attemptId, fields = []) =>
  ['HTTP/1.1 200 OK', `Attempt-Id: ${attemptId}`, `Server-Seal: seal-${attemptId}`, ...fields].join('\r\n') + '\r\n\r\n'

export const chunkOf = text => `${Buffer.byteLength(text, 'latin1').toString(16)}\r\n${text}\r\n`

const HEARTBEAT_MS = 1_200

/**
 * Registers a worker in the store, and writes its heartbeats until it is stopped or crashes; `restart` registers its next
 * run.
 */
export const register = (store, worker, service, fields = {}) => {
  let born = 1_700_000_000_000
  let sequence = 0
  let timer
  const write = () => {
    sequence += 1
    store.put('keyed.servers', worker.workerId, {
      service, address: worker.address, zone: 'zone-a', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, sequence, born, ...fields
    })
  }
  const start = () => {
    write()
    timer = setInterval(write, HEARTBEAT_MS)
  }
  const stop = () => clearInterval(timer)
  start()
  return {
    stop,
    restart: () => {
      born += 1
      sequence = 0
      start()
    }
  }
}

export const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

export const bounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 3_000,
  ackMs: 4_000,
  syncS: 4,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  applyMs: 2_000,
  revertSlackMs: 250,
  skewMaxMs: 5_000,
  strictRevoke: false,
  revokeMs: 5_000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 191,
  recoverS: 12,
  passMs: 120,
  retryAfterS: 0,
  stallMs: 1_500,
  requireFence: false,
  ttlMaxS: 5
}

/** The command of a role in the deploy file, as words. */
const commandOf = role => {
  const section = readFileSync('deploy/system.toml', 'utf8').split(`[roles.${role}]`)[1]
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/** Starts a role with its settings; `descriptorsMax` limits the process as the platform does. */
const startProgram = (role, settings, { descriptorsMax, folder }) => {
  const path = join(folder, `${settings.nodeName}.json`)
  writeFileSync(path, JSON.stringify(toWire(settings)))
  const command = commandOf(role)
  const [program, ...args] = descriptorsMax === undefined ? command : ['sh', '-c', `ulimit -n ${descriptorsMax} && exec ${command.join(' ')}`]
  const child = spawn(program, args, {
    env: { PATH: process.env.PATH, HOME: process.env.HOME, BAOBABDRIFT_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'pipe']
  })
  const state = { child, name: settings.nodeName, end: undefined, errors: '' }
  let log = ''
  child.stdout.on('data', bytes => { log = (log + bytes).slice(-200_000) })
  child.stderr.on('data', bytes => { state.errors = (state.errors + bytes).slice(-4_000) })
  child.on('exit', (code, signal) => { state.end = signal ?? code })
  return Object.assign(state, { logText: () => log })
}

/** The programs and stand-ins of one case. */
export const createFleet = () => {
  const folder = mkdtempSync(join(tmpdir(), 'baobabdrift-review-'))
  const programs = []
  const closers = []
  process.on('exit', () => { for (const { child, end } of programs) if (end === undefined) child.kill('SIGKILL') })
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(COULD_NOT_RUN))

  return {
    addCloser: close => closers.push(close),
    /** Starts an entry on free ports, or on those of an entry that has ended. */
    startEntry: async ({ name = 'front-1', storeAddress, seeds = [], memoryMb = 272, descriptorsMax, portsOf }) => {
      const ports = portsOf ?? { front: await freePort(), ready: await freePort(), directory: await freePort(), control: await freePort() }
      const { front, ready, directory, control } = ports
      const address = port => `127.0.0.1:${port}`
      const settings = {
        nodeName: name,
        role: 'entry',
        machineClass: 'front',
        serves: ['front', 'directory', 'control'],
        ip: '127.0.0.1',
        zone: 'zone-a',
        region: 'region-a',
        zones: { 'zone-a': 'region-a' },
        listen: { front: address(front), ready: address(ready), directory: address(directory), control: address(control) },
        portRange: [0, 0],
        seeds: [address(control), ...seeds],
        bootstrap: true,
        limits: { cpuShare: 0.459, cores: 1, memoryMb, maxFds: descriptorsMax ?? 2_118, linkMbps: 490, diskMb: 0 },
        dataDir: null,
        discovery: 'platform',
        entry: 'directory',
        heartbeatMs: 1_200,
        bounds,
        platform: { address: storeAddress, form: 'log' }
      }
      const program = startProgram('entry', settings, { descriptorsMax, folder })
      programs.push(program)
      const isReady = async () => await statusOf(ready, '/v1/ready') === 200
      await until(async () => program.end !== undefined || await isReady(), START_MAX_MS, `start of ${name}: ${program.errors}`)
      // One that was started again may end at once, which its case counts.
      if (program.end === EXIT_ADDRESS_IN_USE || (program.end !== undefined && portsOf === undefined)) throw new Error(`${name} did not start: ${program.errors}`)
      return Object.assign(program, { front, ready, directory, control, controlAddress: address(control) })
    },
    stop: async () => {
      for (const { child, end } of programs) if (end === undefined) child.kill('SIGKILL')
      await Promise.all(programs.map(program => until(() => program.end !== undefined, 5_000, `end of ${program.name}`)))
      for (const close of closers) close()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Status of a GET; 0 without an answer. */
export const statusOf = (port, path, timeoutMs = 1_000) => new Promise(resolve => {
  const sent = httpRequest({ host: '127.0.0.1', port, path, agent: false, timeout: timeoutMs }, response => {
    response.resume()
    response.on('end', () => resolve(response.statusCode))
    response.on('error', () => resolve(0))
  })
  sent.on('timeout', () => sent.destroy())
  sent.on('error', () => resolve(0))
  sent.end()
})

let attempts = 0
export const nextAttemptId = () => `attempt-${String(++attempts).padStart(6, '0')}`

/** Sends one request on a connection of its own; resolves with what the caller saw, also if the answer broke off. */
export const call = ({ port, path, method = 'POST', headers = {}, body = '', attemptId = nextAttemptId(), deadlineMs = 8_000, timeoutMs = deadlineMs + 3_000 }) =>
  new Promise(resolve => {
    const startedMs = performance.now()
    const seen = { attemptId, status: 0, headers: {}, body: '', isComplete: false, error: undefined, tookMs: 0 }
    let isOver = false
    const finish = error => {
      if (isOver) return
      isOver = true
      clearTimeout(timer)
      resolve(Object.assign(seen, { error, tookMs: Math.round(performance.now() - startedMs) }))
    }
    const sent = httpRequest({
      host: '127.0.0.1',
      port,
      path,
      method,
      agent: false,
      headers: { host: 'site.example', 'attempt-id': attemptId, 'deadline-remaining': String(deadlineMs), credential: 'key-a', 'content-length': Buffer.byteLength(body), ...headers }
    }, response => {
      Object.assign(seen, { status: response.statusCode, headers: response.headers })
      response.setEncoding('latin1')
      response.on('data', text => { seen.body += text })
      response.on('end', () => {
        seen.isComplete = response.complete
        finish(undefined)
      })
      response.on('error', error => finish(error.code ?? error.message))
    })
    const timer = setTimeout(() => {
      sent.destroy()
      finish('no answer in time')
    }, timeoutMs)
    sent.on('error', error => finish(error.code ?? error.message))
    sent.end(body)
  })

/** The rule asks for seven clients that try. */
const CLIENTS_MIN = 7

/** Longest span in which enough clients tried a new connection and none got an answer, while the machine said that it is ready. */
export const longestSpanMs = (unorderedTries, unreadyAtMs) => {
  const tries = [...unorderedTries].sort((a, b) => a.sentMs - b.sentMs)
  let longest = 0
  const goodMs = [...tries.filter(({ isAnswered }) => isAnswered).map(({ sentMs }) => sentMs), ...unreadyAtMs].sort((a, b) => a - b)
  const ends = [...goodMs, Math.max(...tries.map(({ sentMs }) => sentMs))]
  for (const [at, endMs] of ends.entries()) {
    const startMs = at === 0 ? tries[0].sentMs : ends[at - 1]
    const inSpan = tries.filter(({ sentMs }) => sentMs > startMs && sentMs < endMs)
    if (new Set(inSpan.map(({ client }) => client)).size >= CLIENTS_MIN) longest = Math.max(longest, endMs - startMs)
  }
  return longest
}

/** Runs a case and exits with its result; the fleet is stopped in any case. */
export const runCase = async (folder, play) => {
  const record = openRecord(folder)
  const fleet = createFleet()
  let result = COULD_NOT_RUN
  try {
    record(hasTrouble ? 'with the disruption' : 'without the disruption')
    result = await play({ fleet, record })
  } catch (error) {
    record(`could not run: ${error.stack}`)
  }
  await fleet.stop().catch(error => record(`could not stop: ${error.stack}`))
  record(`result ${result}`)
  console.log(`${folder}: ${result === BROKEN ? 'rule broken' : result === HELD ? 'rule held' : 'could not run'}`)
  process.exit(result)
}
