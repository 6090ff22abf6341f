import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'

/** Unit of the CPU times in /proc/<pid>/stat: 100 ticks per second on Linux. */
const CLOCK_TICKS_PER_S = 100
const KILL_DELAY_MS = 3_000
const SECOND_SIGNAL_DELAY_MS = 200

/** Node.js child process whose CPU time and memory can be read. */
export interface Child {
  /** First line that the process printed, such as its URL. */
  readonly firstLine: string
  cpuS (): number
  residentMebibytes (): number
  stop (): Promise<void>
}

/**
 * Returns a loopback address with a port that was free when checked; another process may take it before use.
 */
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
  // The process name in parentheses may contain spaces, so fields are counted from the state, which follows it.
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
  // A second SIGTERM ends a draining program immediately and still lets it write its CPU profile.
  const secondSignalTimer = setTimeout(() => child.kill('SIGTERM'), SECOND_SIGNAL_DELAY_MS)
  const killTimer = setTimeout(() => child.kill('SIGKILL'), KILL_DELAY_MS)
  await exited
  clearTimeout(secondSignalTimer)
  clearTimeout(killTimer)
}

/**
 * Starts a program, JavaScript or TypeScript, and waits for its first output. If OVERHEAD_CPU_PROF names a
 * folder, the programs of src/programs write CPU profiles there.
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
    once(child, 'exit').then(([code]) => { throw new Error(`${program} exited with code ${code} before its first output`) })
  ])
  return { firstLine: String(line).trim(), cpuS: () => readCpuS(child.pid!), residentMebibytes: () => readResidentMebibytes(child.pid!), stop: () => stopChild(child) }
}
