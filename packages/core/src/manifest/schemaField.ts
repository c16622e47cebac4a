/** Fields of schemas by path, for suggestions and for the check that the documentation covers every option. */
import type { PathSegment } from './tomlPath.js'

/** Subset of a schema's syntax tree that is used here. */
interface SchemaNode {
  readonly propertySignatures?: readonly { readonly name: PropertyKey, readonly type: SchemaNode }[]
  readonly rest?: readonly SchemaNode[]
}

/** Lists the field names of the structure at a path; empty if there is none. */
export function listFieldNames (ast: unknown, path: readonly PathSegment[]): string[] {
  let node: SchemaNode | undefined = ast as SchemaNode
  for (const segment of path) {
    node = typeof segment === 'number' ? node?.rest?.[0] : node?.propertySignatures?.find((field) => field.name === segment)?.type
  }
  return (node?.propertySignatures ?? []).map((field) => String(field.name))
}

/** Lists the paths of all options that have a value; arrays of tables appear as `teams[].name`. */
export function listOptionPaths (ast: unknown, prefix = ''): string[] {
  const node = ast as SchemaNode
  const element = node.rest?.[0]
  if (element?.propertySignatures !== undefined) return listOptionPaths(element, `${prefix}[]`)
  if (node.propertySignatures === undefined) return [prefix]
  const paths: string[] = []
  for (const field of node.propertySignatures) {
    paths.push(...listOptionPaths(field.type, prefix === '' ? String(field.name) : `${prefix}.${String(field.name)}`))
  }
  return paths
}
