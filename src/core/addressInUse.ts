/** Exit code of a program that cannot listen because one of its addresses is in use. */
export const EXIT_ADDRESS_IN_USE = 5

/** Whether a listener could not bind its address because it is in use. */
export const isAddressInUse = (error: unknown): error is Error => error instanceof Error && 'code' in error && error.code === 'EADDRINUSE'

/**
 * Describes an error of a listener whose address another process uses; undefined for any other error.
 *
 * @example
 * describeAddressInUse(error) // 'address 10.1.0.40:8227 is already in use (listen EADDRINUSE)'
 */
export const describeAddressInUse = (error: unknown): string | undefined => {
  if (!isAddressInUse(error)) return undefined
  const { syscall = 'listen', address = '', port = '' } = error as NodeJS.ErrnoException & { address?: string, port?: number }
  return `address ${address}:${port} is already in use (${syscall} EADDRINUSE)`
}

/**
 * Ends the program with a line on standard error if one of its addresses is in use; throws any other error again.
 *
 * @example
 * main().catch(error => exitIfAddressInUse('entry front-1', error))
 */
export const exitIfAddressInUse = (program: string, error: unknown): never => {
  const text = describeAddressInUse(error)
  if (text === undefined) throw error
  console.error(`${program}: ${text}`)
  process.exit(EXIT_ADDRESS_IN_USE)
}
