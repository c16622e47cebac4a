#!/usr/bin/env node
/** Entry point of the executable `fuchsiatally`. */
import { runCli } from './runCli.js'

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  writeOut: (text) => { process.stdout.write(text) },
  writeErr: (text) => { process.stderr.write(text) },
  isTerminal: process.stdout.isTTY === true,
  wait: (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })
})
