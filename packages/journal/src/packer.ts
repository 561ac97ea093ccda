import { Packr } from 'msgpackr';

/**
 * Encodes journal records as plain MessagePack maps, so that another process can decode them
 * without shared structures. Bodies are copied, because a body that refers to the page it was read
 * from would keep the whole page in memory.
 */
export const packer = new Packr({
  useRecords: false,
  mapsAsObjects: true,
  copyBuffers: true,
  moreTypes: false,
});
