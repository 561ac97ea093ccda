import { WorkerImages } from '@acaciahoist/cell-planner/worker-images';
import type { OwnerContext } from './owner-context.js';

/**
 * Returns the images on each worker, those included whose start is decided only; undefined while no images are kept
 * apart.
 */
export function listWorkerImages({
  sessions,
  runs,
  proposals,
  workerHealth,
}: Pick<OwnerContext, 'sessions' | 'runs' | 'proposals' | 'workerHealth'>):
  ReadonlyMap<string, WorkerImages> | undefined {
  const partners = workerHealth.imageInterference.listPartners();
  if (partners.size === 0) return undefined;
  const imagesByWorker = new Map<string, WorkerImages>();
  for (const id of sessions.keys())
    imagesByWorker.set(id, WorkerImages.create(runs.listImagesOn(id), partners));
  for (const { worker, image } of proposals.listStarts()) imagesByWorker.get(worker)?.add(image);
  return imagesByWorker;
}
