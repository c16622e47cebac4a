/** Process setup shared by the stand-ins: options, readiness message and shutdown. */

/** Parses the first command-line argument as JSON options; `{}` by default. */
export function readOptions<T> (): T {
  return JSON.parse(process.argv[2] ?? '{}') as T
}

/** Reports readiness to the parent as one line of JSON on standard output. */
export function notifyReady (value: unknown): void {
  process.stdout.write(JSON.stringify(value) + '\n')
}

/** Shuts the process down on SIGTERM or SIGINT, or when standard input closes, which happens at the latest when the parent exits. */
export function stopWithParent (stop: () => Promise<void>): void {
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
