// Installs and builds what is missing, then runs a tool: demo, bench, measureMembership or fuzz of the stand-ins package, or measureHolder of the platform's stand-ins.
import { spawn } from 'node:child_process'
import { existsSync } from 'node:fs'
import { join } from 'node:path'
import { setUp } from './setup.mjs'

const [tool, ...args] = process.argv.slice(2)
setUp()
const root = join(import.meta.dirname, '..')
const folders = [join(root, 'packages', 'standins', 'dist', 'tools'), join(root, 'platform', 'dist', '__tests__', 'standins')]
const toolPath = folders.map((folder) => join(folder, `${tool}.js`)).find((path) => existsSync(path)) ?? tool
const child = spawn(process.execPath, [toolPath, ...args], { stdio: 'inherit' })
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => child.kill(signal))
child.on('exit', (code, signal) => process.exit(code ?? (signal ? 1 : 0)))
