import { Packr } from 'msgpackr';
import Result from 'true-myth/result';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { Failure } from '@acaciahoist/errors';
import type { PeerFrame } from '@acaciahoist/types/peer-frame';
import { findShapeError } from '@acaciahoist/types/find-shape-error';
import { frameShape } from './frame-shape.js';
import { isPeerCallType } from './is-peer-call-type.js';
import { requestShapes } from './request-shapes.js';

/** Larger frames are rejected. A recorded reply has at most 64 KiB and a declaration at most 1 MiB. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

// The record structures of msgpackr are disabled: they would be state of the connection, and each frame must
// be decodable by itself.
const packr = new Packr({ useRecords: false, moreTypes: false });

/** Encodes and decodes frames, and checks received ones. */
export const frameCodec = {
  maxFrameBytes: MAX_FRAME_BYTES,

  encode(frame: PeerFrame): Uint8Array {
    return packr.pack(frame);
  },

  /** Fails with `bad-request` for bytes that are not a frame, unknown call types and invalid call bodies. */
  decode(data: Uint8Array): Result<PeerFrame, Failure> {
    if (data.byteLength > MAX_FRAME_BYTES)
      return createBadRequest(
        `frame of ${data.byteLength} bytes is larger than ${MAX_FRAME_BYTES} bytes`,
      );
    const value = unpack(data);
    const frameError = findShapeError(frameShape, value, 'frame');
    if (frameError !== undefined) return createBadRequest(frameError);
    const frame = value as PeerFrame;
    if (frame.kind !== 'call') return Result.ok(frame);
    if (!isPeerCallType(frame.type))
      return createBadRequest(`call type "${frame.type}" does not exist in this version`);
    const bodyError = findShapeError(requestShapes[frame.type], frame.body, frame.type);
    return bodyError === undefined ? Result.ok(frame) : createBadRequest(bodyError);
  },
};

function unpack(data: Uint8Array): unknown {
  try {
    return packr.unpack(data);
  } catch {
    // msgpackr throws for malformed bytes; `decode` then rejects undefined because it is not a frame.
    return undefined;
  }
}

function createBadRequest(message: string): Result<PeerFrame, Failure> {
  return Result.err(Failure.create(ErrorKind.badRequest, message));
}
