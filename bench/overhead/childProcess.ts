import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'

/** Ticks of /proc/<pid>/stat; fixed at 100 per second on Linux. */
const CLOCK_TICKS_PER_S = 100
const KILL_DELAY_MS = 3_000
const SECOND_SIGNAL_DELAY_MS = 200

/** A node process with its processor time. */
export interface Child {
  /** First line of its output. */
  readonly firstLine: string
  cpuS (): number
  residentMebibytes (): number
  stop (): Promise<void>
}

/** Returns a loopback address whose port was free a moment ago. */
export const freeAddress = async (): Promise<string> => {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return `127.0.0.1:${port}`
}

const readCpuS = (pid: number): number => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The name in parentheses may contain spaces; the fields after it start with the state.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S
}

const readResidentMebibytes = (pid: number): number => {
  const [, kibibytes] = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Number(kibibytes) / 1_024
}

const stopChild = async (child: ChildProcess) => {
  if (child.exitCode !== null || child.signalCode !== null) return
  const exited = once(child, 'exit')
  child.kill('SIGTERM')
  // A second signal ends a draining program at once and still lets it write its profile.
  const secondSignalTimer = setTimeout(() => child.kill('SIGTERM'), SECOND_SIGNAL_DELAY_MS)
  const killTimer = setTimeout(() => child.kill('SIGKILL'), KILL_DELAY_MS)
  await exited
  clearTimeout(secondSignalTimer)
  clearTimeout(killTimer)
}

/**
 * Starts a program, compiled or not, and waits for its first line. With OVERHEAD_CPU_PROF set to a folder,
 * programs write their CPU profiles there.
 *
 * @example
 * const engine = await startChild('bench/overhead/standInProcess.ts', [ChildServer.Engine])
 */
export const startChild = async (program: string, programArguments: readonly string[]): Promise<Child> => {
  const profileFolder = process.env.OVERHEAD_CPU_PROF
  const profileArguments = profileFolder === undefined || !program.includes('programs')
    ? []
    : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`]
  const loaderArguments = program.endsWith('.ts') ? ['--import', 'tsx'] : []
  const child = spawn(process.execPath, [...profileArguments, ...loaderArguments, program, ...programArguments], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [line] = await Promise.race([
    once(child.stdout, 'data'),
    once(child, 'exit').then(([code]) => { throw new Error(`${program} ended with code ${code}`) })
  ])
  return { firstLine: String(line).trim(), cpuS: () => readCpuS(child.pid!), residentMebibytes: () => readResidentMebibytes(child.pid!), stop: () => stopChild(child) }
}
