/** `submit`: hands a job over, safely repeated if an answer is lost. */
import { randomBytes } from 'node:crypto'
import type { Command } from '../command.js'
import { EXIT_OK, stopWith } from '../command.js'
import { EXIT_CODES } from '../exitCodes.js'
import { readJobFile } from '../inputFile.js'

const ID_BYTES = 12
const MAX_TRIES = 3
const RETRY_MS = 500

interface SubmitArguments {
  readonly job: string
  readonly id?: string | undefined
}

export const submit: Command<SubmitArguments> = {
  usage: 'submit <job>',
  description: 'Submit a job from a TOML or JSON file',
  examples: [
    ['$0 submit covers.toml', 'submit and print the id'],
    ['$0 submit covers.toml --id covers-2026-02-18', 'the same id is the same job, however often it is sent']
  ],
  build: (argv) => argv
    .positional('job', { type: 'string', demandOption: true, describe: 'file, or - for standard input' })
    .option('id', { type: 'string', describe: 'id of the job, chosen by you; random where absent' }),
  run: async ({ args, output, caller, context }) => {
    const spec = readJobFile(args.job)
    if (spec.isErr()) return stopWith(output, spec.error)
    const id = args.id ?? randomBytes(ID_BYTES).toString('hex')
    let sent = await caller.readJson('POST', '/v1/jobs', { id, spec: spec.value })
    for (let attempt = 1; attempt < MAX_TRIES && sent.isErr() && sent.error.exitCode === EXIT_CODES.unknown; attempt++) {
      output.writeNote(`${sent.error.message}; sending it again under the same id ${id}`)
      await context.wait(RETRY_MS)
      sent = await caller.readJson('POST', '/v1/jobs', { id, spec: spec.value })
    }
    if (sent.isErr()) return stopWith(output, sent.error)
    output.writeResult(sent.value.value, String(sent.value.value['id']))
    return EXIT_OK
  }
}
