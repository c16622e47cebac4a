/** Command `submit`, which submits a job and retries under the same id when the outcome is unknown. */
import { randomBytes } from 'node:crypto'
import type { Command } from '../command.js'
import { EXIT_OK, failCommand } from '../command.js'
import { EXIT_CODES } from '../exitCodes.js'
import { readJobFile } from '../inputFile.js'

const ID_BYTES = 12
const MAX_ATTEMPTS = 3
const RETRY_DELAY_MS = 500

interface SubmitArguments {
  readonly job: string
  readonly id?: string | undefined
}

export const submit: Command<SubmitArguments> = {
  usage: 'submit <job>',
  description: 'Submit a job from a TOML or JSON file',
  examples: [
    ['$0 submit covers.toml', 'submit the job and print its id'],
    ['$0 submit covers.toml --id covers-2026-02-18', 'repeated submissions with the same id create one job']
  ],
  build: (argv) => argv
    .positional('job', { type: 'string', demandOption: true, describe: 'file, or - for standard input' })
    .option('id', { type: 'string', describe: 'id of the job; default: a random id' }),
  run: async ({ args, output, teamClient, cliContext }) => {
    const spec = readJobFile(args.job)
    if (spec.isErr()) return failCommand(output, spec.error)
    const id = args.id ?? randomBytes(ID_BYTES).toString('hex')
    let sent = await teamClient.readJson('POST', '/v1/jobs', { id, spec: spec.value })
    for (let attempt = 1; attempt < MAX_ATTEMPTS && sent.isErr() && sent.error.exitCode === EXIT_CODES.unknown; attempt++) {
      output.writeNote(`${sent.error.message}; retrying with the same id ${id}`)
      await cliContext.wait(RETRY_DELAY_MS)
      sent = await teamClient.readJson('POST', '/v1/jobs', { id, spec: spec.value })
    }
    if (sent.isErr()) return failCommand(output, sent.error)
    output.writeResult(sent.value.value, String(sent.value.value['id']))
    return EXIT_OK
  }
}
