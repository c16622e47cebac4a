/** What the processes of the stand-ins share. */

/** Reads the options of the first argument; `{}` if there is none. */
export function readOptions<T> (): T {
  return JSON.parse(process.argv[2] ?? '{}') as T
}

/** Tells the parent in one line that the process takes calls. */
export function reportReady (value: unknown): void {
  process.stdout.write(JSON.stringify(value) + '\n')
}

/** Ends the process on a signal, or when its parent's end of standard input closes. */
export function endWithParent (stop: () => Promise<void>): void {
  const end = (): void => {
    setTimeout(() => process.exit(0), 1000).unref()
    stop().then(() => process.exit(0), () => process.exit(1))
  }
  process.on('SIGTERM', end)
  process.on('SIGINT', end)
  process.stdin.on('end', end)
  process.stdin.on('close', end)
  process.stdin.resume()
}
