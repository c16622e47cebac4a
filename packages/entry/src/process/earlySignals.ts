/**
 * Signals of a process that is still starting. Imported before all other modules, so that the handlers stand before these are evaluated: by default,
 * SIGHUP ends a process.
 */

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

function stopEarly (signal: NodeJS.Signals): void {
  process.stderr.write(`stopped by ${signal} before the start was complete\n`)
  process.exit(0)
}

// The settings are read after this, or have just been read.
process.on('SIGHUP', () => {})
for (const signal of STOP_SIGNALS) process.on(signal, stopEarly)

/** Leaves SIGTERM and SIGINT to the handlers of the process that has started. */
export function endEarlySignals (): void {
  for (const signal of STOP_SIGNALS) process.off(signal, stopEarly)
}
