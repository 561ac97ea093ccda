import type { Round } from './round.js';

/** Decides about one kind of work in a round. */
export type PlacementStep = (round: Round) => void;
