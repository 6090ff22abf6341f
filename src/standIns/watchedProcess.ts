import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { readdirSync, readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'

/** A process that a test has started, with what the operating system says of its resources. */
export interface WatchedProcess {
  readonly isAlive: boolean
  /** How the process has ended, with the end of its error output; empty while it runs. */
  readonly end: string
  /** Most resident memory that the process has had so far, in MiB; as last read if it has ended. */
  residentPeakMb (): number
  /** Most open descriptors that any call has seen. */
  descriptorPeak (): number
  signal (name: NodeJS.Signals): void
  stop (): Promise<void>
}

const ERROR_OUTPUT_CHARS_MAX = 400
const KIBIBYTES_PER_MB = 1_024
const SAMPLE_INTERVAL_MS = 25

const readPeakMb = (pid: number): number => {
  const [, kibibytes = '0'] = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Number(kibibytes) / KIBIBYTES_PER_MB
}

/**
 * Starts a Node.js process and watches its memory and descriptors until it is stopped. Its output is read line by line if
 * `onLine` is given, and dropped otherwise.
 *
 * @example
 * const entry = startWatchedProcess(['--max-old-space-size=160', 'target/entry.mjs'], { BAOBABDRIFT_NODE_FILE: path })
 */
export const startWatchedProcess = (
  nodeArguments: readonly string[], environment: Record<string, string> = {}, onLine?: (line: string) => void
): WatchedProcess => {
  const child: ChildProcess = spawn(process.execPath, nodeArguments, {
    stdio: ['ignore', onLine === undefined ? 'ignore' : 'pipe', 'pipe'], env: { ...process.env, ...environment }
  })
  if (onLine !== undefined) createInterface({ input: child.stdout! }).on('line', onLine)
  let errorOutput = ''
  let end = ''
  let peakMb = 0
  let descriptorPeak = 0
  child.stderr!.on('data', bytes => { errorOutput = (errorOutput + String(bytes)).slice(-ERROR_OUTPUT_CHARS_MAX) })
  child.on('exit', (code, signal) => { end = `code ${code}, signal ${signal}: ${errorOutput}` })

  const sample = () => {
    try {
      peakMb = Math.max(peakMb, readPeakMb(child.pid!))
      descriptorPeak = Math.max(descriptorPeak, readdirSync(`/proc/${child.pid}/fd`).length)
    } catch {
      // The process has ended; the last values stay.
    }
  }
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS)

  return {
    get isAlive () { return child.exitCode === null && child.signalCode === null },
    get end () { return end },
    residentPeakMb: () => {
      sample()
      return Math.round(peakMb)
    },
    descriptorPeak: () => {
      sample()
      return descriptorPeak
    },
    signal: name => { child.kill(name) },
    stop: async () => {
      clearInterval(timer)
      if (child.exitCode !== null || child.signalCode !== null) return
      const exited = once(child, 'exit')
      child.kill('SIGKILL')
      await exited
    }
  }
}
