/** Parts of one response that may wait to be handled, before no more of it is read. */
export const UNHANDLED_PARTS_MAX = 4

/** Counts the parts of each response that have been read and not yet handled. */
export interface ExchangeBacklog {
  /** Watches an exchange; `setPaused` stops and continues the reading of its response. */
  begin (exchangeId: number, setPaused: (isPaused: boolean) => void): void
  /** A part was read and waits to be handled. */
  recordRead (exchangeId: number): void
  recordHandled (exchangeId: number): void
  end (exchangeId: number): void
}

interface WatchedExchange {
  unhandledParts: number
  isPaused: boolean
  setPaused: (isPaused: boolean) => void
}

/**
 * Creates the backlog of one task. An exchange that is ahead of the task is not read until all of its parts have been handled,
 * so that no upstream can fill the task's mailbox.
 *
 * @example
 * const backlog = createExchangeBacklog()
 * backlog.begin(exchangeId, isPaused => exchange.setPaused(ReadPause.Unhandled, isPaused))
 */
export const createExchangeBacklog = (): ExchangeBacklog => {
  const exchanges = new Map<number, WatchedExchange>()

  const setPaused = (exchange: WatchedExchange, isPaused: boolean) => {
    if (exchange.isPaused === isPaused) return
    exchange.isPaused = isPaused
    exchange.setPaused(isPaused)
  }

  return {
    begin: (exchangeId, setPaused) => { exchanges.set(exchangeId, { unhandledParts: 0, isPaused: false, setPaused }) },
    recordRead: exchangeId => {
      const exchange = exchanges.get(exchangeId)
      if (exchange === undefined) return
      exchange.unhandledParts += 1
      if (exchange.unhandledParts >= UNHANDLED_PARTS_MAX) setPaused(exchange, true)
    },
    recordHandled: exchangeId => {
      const exchange = exchanges.get(exchangeId)
      if (exchange === undefined) return
      exchange.unhandledParts -= 1
      if (exchange.unhandledParts === 0) setPaused(exchange, false)
    },
    end: exchangeId => { exchanges.delete(exchangeId) }
  }
}
