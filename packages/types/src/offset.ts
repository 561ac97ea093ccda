/** Position of a record in a log stream: 0, 1, 2, … */
export type Offset = number;
