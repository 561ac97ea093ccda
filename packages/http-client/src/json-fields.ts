import { Result } from 'true-myth/result';

/** Thrown for a field of the wrong type or out of bounds; `JsonFields.read` catches it. */
class ShapeError extends Error {}

/**
 * Reads fields of a JSON object and checks their types and bounds. Each method except `has`, `raw` and `names`
 * throws a `ShapeError` when the field is absent or invalid.
 */
export class JsonFields {
  /** Parses `bytes` and passes the object to `read`. The error names the first invalid field. */
  static read<T>(bytes: Uint8Array, read: (fields: JsonFields) => T): Result<T, string> {
    try {
      const value: unknown = JSON.parse(Buffer.from(bytes).toString('utf8'));
      return Result.ok(read(JsonFields.create(value, 'body')));
    } catch (error) {
      if (error instanceof ShapeError) return Result.err(error.message);
      if (error instanceof SyntaxError) return Result.err('the body is not JSON');
      throw error;
    }
  }

  private static create(value: unknown, path: string): JsonFields {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      throw new ShapeError(`${path} must be an object`);
    }
    return new JsonFields(value as Record<string, unknown>, path);
  }

  private constructor(
    private readonly value: Readonly<Record<string, unknown>>,
    private readonly path: string,
  ) {}

  has(name: string): boolean {
    return Object.hasOwn(this.value, name) && this.value[name] !== undefined;
  }

  /** Returns the value of a field without a check, or undefined when it is absent. */
  raw(name: string): unknown {
    return Object.hasOwn(this.value, name) ? this.value[name] : undefined;
  }

  names(): string[] {
    return Object.keys(this.value);
  }

  text(name: string, maxLength = 1_000): string {
    const value = this.raw(name);
    if (typeof value !== 'string' || value.length > maxLength) {
      throw this.createShapeError(name, `a string of at most ${maxLength} characters`);
    }
    return value;
  }

  /** Returns a string that is one of the allowed values. */
  oneOf<const T extends string>(name: string, allowed: readonly T[]): T {
    const value = this.raw(name);
    const match = allowed.find((candidate) => candidate === value);
    if (match === undefined) throw this.createShapeError(name, `one of ${allowed.join(', ')}`);
    return match;
  }

  integer(name: string, min = 0, max = Number.MAX_SAFE_INTEGER): number {
    const value = this.raw(name);
    if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < min || value > max) {
      throw this.createShapeError(name, `an integer from ${min} to ${max}`);
    }
    return value;
  }

  number(name: string, min = 0, max = Number.MAX_SAFE_INTEGER): number {
    const value = this.raw(name);
    if (typeof value !== 'number' || !(value >= min && value <= max)) {
      throw this.createShapeError(name, `a number from ${min} to ${max}`);
    }
    return value;
  }

  /** Returns a boolean. */
  flag(name: string): boolean {
    const value = this.raw(name);
    if (typeof value !== 'boolean') throw this.createShapeError(name, 'true or false');
    return value;
  }

  object(name: string): JsonFields {
    return JsonFields.create(this.raw(name), `${this.path}.${name}`);
  }

  /** Reads a list of objects, each with `read`. */
  list<T>(name: string, maxLength: number, read: (item: JsonFields) => T): T[] {
    return this.readItems(name, maxLength).map((item, index) =>
      read(JsonFields.create(item, `${this.path}.${name}[${index}]`)),
    );
  }

  /** Returns a list of strings of at most 1,000 characters each. */
  texts(name: string, maxLength: number): string[] {
    return this.readItems(name, maxLength).map((item) => {
      if (typeof item !== 'string' || item.length > 1_000)
        throw this.createShapeError(name, 'a list of strings of at most 1000 characters');
      return item;
    });
  }

  private readItems(name: string, maxLength: number): unknown[] {
    const value = this.raw(name);
    if (!Array.isArray(value) || value.length > maxLength) {
      throw this.createShapeError(name, `a list of at most ${maxLength} items`);
    }
    return value;
  }

  private createShapeError(name: string, expected: string): ShapeError {
    return new ShapeError(`${this.path}.${name} must be ${expected}`);
  }
}
