#!/usr/bin/env -S node --max-semi-space-size=2
/** Executable `fuchsiatallyd`: runs one entry, configured by a TOML file. */
import { readFileSync } from 'node:fs'
import { EXIT_BAD_SETTINGS, formatFault, resolveSettings } from '@fuchsiatally/core'
import * as Effect from 'effect/Effect'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runEntry, type EntryResult } from './process/runEntry.js'

const EXIT_CODES: Readonly<Record<EntryResult, number>> = { stopped: 0, lost: 3, startFailed: EXIT_BAD_SETTINGS }

function readSettingsText (path: string): string | null {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    process.stderr.write(`fuchsiatallyd: cannot read ${path}: ${String(error)}; name a readable file with --config\n`)
    return null
  }
}

async function runMain (): Promise<number> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('fuchsiatallyd')
    .usage('$0 --config entry.toml')
    .option('config', { type: 'string', demandOption: true, describe: 'TOML settings of this process; see docs/CONFIG.md' })
    .example('$0 --config /etc/fuchsiatally/entry.toml', 'run one entry')
    .strict()
    .parse()
  const text = readSettingsText(args.config)
  if (text === null) return EXIT_BAD_SETTINGS
  const settings = resolveSettings(text)
  if (settings.isErr()) {
    for (const fault of settings.error) process.stderr.write(`fuchsiatallyd: ${formatFault(fault, args.config)}\n`)
    return EXIT_BAD_SETTINGS
  }
  return EXIT_CODES[await Effect.runPromise(Effect.scoped(runEntry(settings.value)))]
}

process.exit(await runMain())
