/** The command line as a library: run it with streams and environment of one's own. */
export * from './exitCodes.js'
export { runCli } from './runCli.js'
export type { CliContext } from './command.js'
