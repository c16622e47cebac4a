/** Packages of the workspace, as `package.json` lists them. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import * as Schema from 'effect/Schema'
import { err, ok, type Result } from 'neverthrow'

const WORKSPACE_FILE = 'package.json'
const BUILD_COMMAND = 'npm run build'
/** Pattern of all folders within a folder. */
const ALL_FOLDERS = '/*'

const decodeWorkspace = Schema.decodeUnknownSync(Schema.fromJsonString(Schema.Struct({ workspaces: Schema.Array(Schema.String) })))

/** Lists the folders of the workspace's packages. */
export function listWorkspacePackages (root: string): string[] {
  const { workspaces } = decodeWorkspace(readFileSync(join(root, WORKSPACE_FILE), 'utf8'))
  const folders = workspaces.flatMap((pattern) => {
    if (!pattern.endsWith(ALL_FOLDERS)) return [join(root, pattern)]
    const parent = join(root, pattern.slice(0, -ALL_FOLDERS.length))
    return readdirSync(parent).map((name) => join(parent, name))
  })
  return folders.filter((folder) => existsSync(join(folder, WORKSPACE_FILE)))
}

/** Lists the build folders of the workspace's packages; the error names a package without one and how to build it. */
export function listBuildFolders (root: string): Result<string[], string> {
  const folders: string[] = []
  for (const folder of listWorkspacePackages(root)) {
    const dist = join(folder, 'dist')
    if (!existsSync(dist)) return err(`${folder} is not built: run \`${BUILD_COMMAND}\``)
    folders.push(dist)
  }
  return ok(folders)
}
