import type { Core } from './core.js'
import { createMailbox, type Mailbox, OverflowPolicy } from './mailbox.js'
import { createLog } from './log.js'

/** Maximum number of messages that a task handles before it yields to the event loop. */
const MESSAGES_PER_TURN = 256

/** Queue of a task in which a message waits. */
export enum Lane {
  /** Handled before all messages of the other lane, such as ticks and cancellations. */
  Control = 'control',
  /** What arrives in amounts that others determine, such as parts of responses. */
  Bulk = 'bulk'
}

/** A running task; other tasks communicate with it only by posting messages. */
export interface Task<Message> {
  /** Returns false if the mailbox rejected the message or the task has stopped. */
  post (message: Message): boolean
  /** Posts a message from `createTick` at each interval until the task stops. */
  tickEvery (intervalMs: number, createTick: () => Message): void
  stop (): void
  readonly queuedCount: number
  /** Number of messages that a full mailbox has rejected or dropped. */
  readonly overflowCount: number
}

/** An exception while a message was handled: in the core, or in one of its effects. */
export interface TaskFailure<Message, Effect> {
  error: unknown
  message: Message
  /** Undefined if the core itself failed; then the message has no effects. */
  effect: Effect | undefined
}

export interface TaskOptions<Message, Effect> {
  name: string
  core: Core<Message, Effect>
  /** Performs one effect, usually by a lookup in a table of effect handlers. */
  perform: (effect: Effect) => void
  /** Called after each exception; the other effects of the message are performed all the same. */
  onFailure?: (failure: TaskFailure<Message, Effect>) => void
  /** Messages that each lane holds, unless it has a capacity of its own. */
  capacity?: number
  bulkCapacity?: number
  overflow?: OverflowPolicy
  /** Returns the lane of a message; a full lane leaves the other one usable. All messages share one if it is not set. */
  laneOf?: (message: Message) => Lane
}

/**
 * Runs a core: passes it the messages of a bounded mailbox and performs the effects in order. An effect that
 * fails doesn't keep the ones behind it from being performed. A post schedules the task; it occupies no thread while its
 * mailbox is empty.
 *
 * @example
 * const task = createTask({ name: 'gossip', core, perform: effect => dispatch(effectHandlers, effect) })
 * task.post({ kind: GossipMessageKind.Tick })
 */
export const createTask = <Message, Effect>(
  { name, core, perform, onFailure = () => {}, capacity = 4096, bulkCapacity = capacity, overflow = OverflowPolicy.RejectNew, laneOf = () => Lane.Bulk }: TaskOptions<Message, Effect>
): Task<Message> => {
  const log = createLog(name)
  const lanes: Record<Lane, Mailbox<Message>> = {
    [Lane.Control]: createMailbox({ capacity, overflow }),
    [Lane.Bulk]: createMailbox({ capacity: bulkCapacity, overflow })
  }
  const timers: NodeJS.Timeout[] = []
  let scheduled = false
  let stopped = false

  const attempt = <Result>(message: Message, effect: Effect | undefined, action: () => Result): Result | undefined => {
    try {
      return action()
    } catch (error) {
      log('failed to handle a message: %s', error instanceof Error ? error.stack : String(error))
      onFailure({ error, message, effect })
      return undefined
    }
  }

  const handleOne = (message: Message) => {
    const effects = attempt(message, undefined, () => core.handle(message)) ?? []
    for (const effect of effects) attempt(message, effect, () => perform(effect))
  }

  const countQueued = () => lanes[Lane.Control].length + lanes[Lane.Bulk].length

  const takeNext = (): Message | undefined => lanes[Lane.Control].shift() ?? lanes[Lane.Bulk].shift()

  const drain = () => {
    scheduled = false
    for (let i = 0; i < MESSAGES_PER_TURN; i++) {
      const message = stopped ? undefined : takeNext()
      if (message === undefined) return
      handleOne(message)
    }
    if (countQueued() > 0) schedule(setImmediate)
  }

  const schedule = (defer: (callback: () => void) => unknown) => {
    if (scheduled || stopped) return
    scheduled = true
    defer(drain)
  }

  const post = (message: Message) => {
    if (stopped) return false
    const accepted = lanes[laneOf(message)].push(message)
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
    get queuedCount () { return countQueued() },
    get overflowCount () { return lanes[Lane.Control].overflowCount + lanes[Lane.Bulk].overflowCount }
  }
}
