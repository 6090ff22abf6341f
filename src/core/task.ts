import type { Core } from './core.js'
import { createMailbox, OverflowPolicy } from './mailbox.js'
import { createLog } from './log.js'

/** Messages handled in one turn before other tasks get the event loop. */
const MESSAGES_PER_TURN = 256

/** A running task: other tasks only post messages to it. */
export interface Task<Message> {
  /** Returns false if the mailbox refused the message. */
  post (message: Message): boolean
  /** Posts a message made by `createTick` at every interval until the task stops. */
  tickEvery (intervalMs: number, createTick: () => Message): void
  stop (): void
  readonly queuedCount: number
}

export interface TaskOptions<Message, Effect> {
  name: string
  core: Core<Message, Effect>
  /** Turns one effect into sends; usually a lookup in a table of performers. */
  perform: (effect: Effect) => void
  capacity?: number
  overflow?: OverflowPolicy
}

/**
 * Runs a core: drains a bounded mailbox and performs the effects in order. The task is
 * woken by a post and holds no thread while its mailbox is empty.
 *
 * @example
 * const task = createTask({ name: 'gossip', core, perform: effect => dispatch(performers, effect) })
 * task.post({ kind: GossipMessageKind.Tick })
 */
export const createTask = <Message, Effect>(
  { name, core, perform, capacity = 4096, overflow = OverflowPolicy.RejectNew }: TaskOptions<Message, Effect>
): Task<Message> => {
  const log = createLog(name)
  const mailbox = createMailbox<Message>({ capacity, overflow })
  const timers: NodeJS.Timeout[] = []
  let scheduled = false
  let stopped = false

  const handleOne = (message: Message) => {
    try {
      for (const effect of core.handle(message)) perform(effect)
    } catch (error) {
      log('message failed: %s', error instanceof Error ? error.stack : String(error))
    }
  }

  const drain = () => {
    scheduled = false
    for (let i = 0; i < MESSAGES_PER_TURN; i++) {
      const message = stopped ? undefined : mailbox.shift()
      if (message === undefined) return
      handleOne(message)
    }
    if (mailbox.length > 0) schedule(setImmediate)
  }

  const schedule = (defer: (callback: () => void) => unknown) => {
    if (scheduled || stopped) return
    scheduled = true
    defer(drain)
  }

  const post = (message: Message) => {
    if (stopped) return false
    const accepted = mailbox.push(message)
    schedule(queueMicrotask)
    return accepted
  }

  return {
    post,
    tickEvery: (intervalMs, createTick) => {
      const timer = setInterval(() => post(createTick()), intervalMs)
      timer.unref()
      timers.push(timer)
    },
    stop: () => {
      stopped = true
      timers.forEach(clearInterval)
    },
    get queuedCount () { return mailbox.length }
  }
}
