/** Programmatic interface to the command line, with injectable streams and environment. */
export * from './exitCodes.js'
export { runCli } from './runCli.js'
export type { CliContext } from './command.js'
