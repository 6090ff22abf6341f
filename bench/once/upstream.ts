import { type Random, ResultCode } from '../../src/core/index.js'
import { type RunsMessage, RunsMessageKind } from '../../src/once/index.js'
import type { EventQueue } from '../harness/index.js'
import type { RunRecord, UpstreamFaults } from './worldTypes.js'

/** Message about the progress of a run, without the run's id. */
type RunProgress =
  RunsMessage extends infer Message ? Message extends { runId: string } ? Omit<Message, 'runId'> : never : never

/** Runs a request on an agent's simulated upstream and reports its response chunk by chunk. */
export const startUpstreamRun = ({ queue, random, faults, run, onStarted, post }: {
  queue: EventQueue
  random: Random
  faults: UpstreamFaults
  run: RunRecord
  onStarted: (run: RunRecord) => void
  post: (message: RunProgress & { runId: string }) => void
}): void => {
  const report = (message: RunProgress) => post({ ...message, runId: '' } as RunProgress & { runId: string })
  if (random.next() < faults.notStartedRatio) {
    queue.after(1, () => report({
      kind: RunsMessageKind.UpstreamFailed, code: ResultCode.NoUpstream, hasStarted: false
    }))
    return
  }
  onStarted(run)
  const chunkCount = random.int(1, faults.chunksMax)
  const failsAtEnd = random.next() < faults.failedRatio
  const chunks = Array.from({ length: chunkCount }, (_, i) => `[${run.body}/${run.agent}/${run.startedMs}/${i}]`)
  if (!failsAtEnd) run.answer = chunks.join('')
  const produce = (i: number) => queue.after(random.next() * faults.chunkDelayMaxMs, () => {
    if (i < chunkCount) {
      report({ kind: RunsMessageKind.UpstreamChunk, bytes: Buffer.from(chunks[i]!) })
      produce(i + 1)
    } else if (failsAtEnd) {
      report({ kind: RunsMessageKind.UpstreamFailed, code: ResultCode.UpstreamDied, hasStarted: true })
    } else report({ kind: RunsMessageKind.UpstreamEnded, httpStatus: 200 })
  })
  produce(0)
}
