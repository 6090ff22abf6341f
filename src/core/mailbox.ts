/** How a full mailbox handles a new message. */
export enum OverflowPolicy {
  /** Rejects the new message; `push` returns false, so that the sender can reply with a result code. */
  RejectNew = 'reject-new',
  /** Drops the oldest message; for messages that later ones supersede. */
  DropOldest = 'drop-oldest'
}

/** A bounded first-in-first-out queue of messages. */
export interface Mailbox<Message> {
  /** Returns false if the message was rejected. */
  push (message: Message): boolean
  shift (): Message | undefined
  readonly length: number
  /** Number of messages rejected or dropped since creation. */
  readonly overflowCount: number
}

/**
 * Creates a bounded mailbox.
 *
 * @example
 * const mailbox = createMailbox<Report>({ capacity: 64, overflow: OverflowPolicy.DropOldest })
 * mailbox.push(report)
 */
export const createMailbox = <Message>(
  { capacity, overflow }: { capacity: number, overflow: OverflowPolicy }
): Mailbox<Message> => {
  let queue: Message[] = []
  let head = 0
  let overflowCount = 0

  const compact = () => {
    if (head < 1024 || head * 2 < queue.length) return
    queue = queue.slice(head)
    head = 0
  }

  const onFull: Record<OverflowPolicy, () => boolean> = {
    [OverflowPolicy.RejectNew]: () => false,
    [OverflowPolicy.DropOldest]: () => {
      head += 1
      return true
    }
  }

  return {
    push: message => {
      if (queue.length - head >= capacity) {
        overflowCount += 1
        if (!onFull[overflow]()) return false
      }
      queue.push(message)
      return true
    },
    shift: () => {
      if (head === queue.length) return undefined
      const message = queue[head]
      queue[head] = undefined as Message
      head += 1
      compact()
      return message
    },
    get length () { return queue.length - head },
    get overflowCount () { return overflowCount }
  }
}
