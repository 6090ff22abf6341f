/**
 * A deterministic state machine: the decisions of a slice without sockets, timers,
 * wall clock or unseeded randomness.
 */
export interface Core<Message, Effect> {
  handle (message: Message): Effect[]
}

/** A table with exactly one handler for each kind of message. */
export type HandlerTable<Message extends { kind: string }, Result> = {
  [Kind in Message['kind']]: (message: Extract<Message, { kind: Kind }>) => Result
}

/**
 * Calls the handler registered for the kind of a message.
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
