/** Parts of the client accounts' ceilings that a cell may use. */
import { addResources, NO_RESOURCES, type CellConfig, type Resources } from '@fuchsiatally/core'
import type { ListedWorker } from './ports.js'

function computePart (ceiling: number, own: number, all: number): number {
  if (!Number.isFinite(ceiling)) return ceiling
  return all <= 0 ? 0 : ceiling * (own / all)
}

/** Splits each ceiling over the cells by the capacity of their workers, so that the sum never exceeds it. */
export function computeTeamLimits (config: CellConfig, cell: string, workers: readonly ListedWorker[]): ReadonlyMap<string, Resources> {
  let own = NO_RESOURCES
  let all = NO_RESOURCES
  for (const worker of workers) {
    all = addResources(all, worker.capacity)
    if (worker.service === cell) own = addResources(own, worker.capacity)
  }
  const limits = new Map<string, Resources>()
  for (const team of config.teams) {
    limits.set(team.name, {
      processors: computePart(team.ceiling.processors, own.processors, all.processors),
      memoryMb: computePart(team.ceiling.memoryMb, own.memoryMb, all.memoryMb),
      accelerators: computePart(team.ceiling.accelerators, own.accelerators, all.accelerators)
    })
  }
  return limits
}
