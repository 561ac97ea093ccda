/**
 * Images of the tasks on one worker, and the pairs of images that are kept apart. Planned starts are added while the
 * planner plans.
 */
export class WorkerImages {
  /** `partners` has the images that each image is kept apart from. */
  static create(
    images: Iterable<string>,
    partners: ReadonlyMap<string, ReadonlySet<string>>,
  ): WorkerImages {
    return new WorkerImages(new Set(images), partners);
  }

  private constructor(
    private readonly images: Set<string>,
    private readonly partners: ReadonlyMap<string, ReadonlySet<string>>,
  ) {}

  add(image: string): void {
    if (this.partners.has(image)) this.images.add(image);
  }

  /** Returns whether a task of an image runs here from which this image is kept apart. */
  conflictsWith(image: string): boolean {
    const partners = this.partners.get(image);
    if (partners === undefined) return false;
    for (const partner of partners) if (this.images.has(partner)) return true;
    return false;
  }
}
