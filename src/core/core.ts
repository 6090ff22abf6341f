/**
 * A deterministic state machine that makes the decisions of a slice. It uses no sockets, timers,
 * system time or unseeded randomness.
 */
export interface Core<Message, Effect> {
  handle (message: Message): Effect[]
}

/** A lookup table with exactly one handler per kind of message. */
export type HandlerTable<Message extends { kind: string }, Result> = {
  [Kind in Message['kind']]: (message: Extract<Message, { kind: Kind }>) => Result
}

/**
 * Calls the handler for the kind of a message.
 *
 * @example
 * const handlers: HandlerTable<Message, Effect[]> = { [Kind.Tick]: onTick }
 * dispatch(handlers, message)
 */
export const dispatch = <Message extends { kind: string }, Result>(
  handlers: HandlerTable<Message, Result>,
  message: Message
): Result => {
  const handler = handlers[message.kind as Message['kind']] as (message: Message) => Result
  return handler(message)
}
