import { FLOW_PAUSE_BYTES, FLOW_PAUSE_MAX_MS, FLOW_RESUME_BYTES } from './constants.js'

/** Reading of a response from its upstream, which follows the pace of the caller. */
export interface ReadingFlow {
  /** The caller has this many bytes of the response left to read. */
  update (unreadBytes: number): void
  /** Another upstream continues the response; it is being read. */
  restart (): void
  stop (): void
}

/**
 * Creates the flow of one response. A pause is short, as an upstream cuts off a response that stays unread for some seconds;
 * after it, one more part is read. The bytes of a caller that does not read thus grow slowly up to the limit of its connection.
 *
 * @example
 * const flow = createReadingFlow(isPaused => exchange.setPaused(isPaused))
 * flow.update(response.writableLength)
 */
export const createReadingFlow = (setPaused: (isPaused: boolean) => void): ReadingFlow => {
  let isPaused = false
  let unreadBytes = 0
  let pauseAtBytes = FLOW_PAUSE_BYTES
  let timer: NodeJS.Timeout | undefined

  const stop = () => {
    clearTimeout(timer)
    isPaused = false
  }
  const resume = (nextPauseAtBytes: number) => {
    stop()
    pauseAtBytes = nextPauseAtBytes
    setPaused(false)
  }

  return {
    update: bytes => {
      unreadBytes = bytes
      if (!isPaused && bytes > pauseAtBytes) {
        isPaused = true
        setPaused(true)
        timer = setTimeout(() => resume(unreadBytes + FLOW_PAUSE_BYTES), FLOW_PAUSE_MAX_MS)
        timer.unref()
      } else if (isPaused && bytes < FLOW_RESUME_BYTES) resume(FLOW_PAUSE_BYTES)
    },
    restart: stop,
    stop
  }
}
