import type { Round } from './round.js';

/** Makes the decisions about one kind of work in a planning round. */
export type PlacementStep = (round: Round) => void;
