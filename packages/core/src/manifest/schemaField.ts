/** Fields of schemas by path, for suggestions and for the check that the docs name every option. */
import type { PathSegment } from './tomlPath.js'

/** The part of a schema's syntax tree that is read here. */
interface SchemaNode {
  readonly propertySignatures?: readonly { readonly name: PropertyKey, readonly type: SchemaNode }[]
  readonly rest?: readonly SchemaNode[]
}

/** Names of the fields of the structure at a path; empty if the path leads to none. */
export function listFieldNames (ast: unknown, path: readonly PathSegment[]): string[] {
  let node: SchemaNode | undefined = ast as SchemaNode
  for (const segment of path) {
    node = typeof segment === 'number' ? node?.rest?.[0] : node?.propertySignatures?.find((field) => field.name === segment)?.type
  }
  return (node?.propertySignatures ?? []).map((field) => String(field.name))
}

/** Paths of all options that hold a value, arrays of tables as `teams[].name`. */
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
