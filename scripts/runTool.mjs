// Installs and builds what is missing, then runs a tool of the stand-ins package: demo, bench, measureMembership or fuzz.
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { setUp } from './setup.mjs'

const [tool, ...args] = process.argv.slice(2)
setUp()
const toolPath = join(import.meta.dirname, '..', 'packages', 'standins', 'dist', 'tools', `${tool}.js`)
const child = spawn(process.execPath, [toolPath, ...args], { stdio: 'inherit' })
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => child.kill(signal))
child.on('exit', (code, signal) => process.exit(code ?? (signal ? 1 : 0)))
