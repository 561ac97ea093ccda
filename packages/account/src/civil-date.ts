/** Days from 0000-03-01 to 1970-01-01 in the proleptic Gregorian calendar. */
const EPOCH_DAY = 719_468;
/** Days in an era of 400 years. */
const ERA_DAYS = 146_097;

/**
 * Converts between days since 1970-01-01 and calendar dates. Years are counted from March, so that
 * the leap day is the last day of a year. Any five consecutive months from March to January have 153
 * days; the formulas of month and day use this.
 */
export const civilDate = {
  /** Returns the date that is `days` after 1970-01-01. */
  fromDays(days: number): { year: number; month: number; day: number } {
    const daysSinceYear0 = days + EPOCH_DAY;
    const era = Math.floor(daysSinceYear0 / ERA_DAYS);
    const dayOfEra = daysSinceYear0 - era * ERA_DAYS;
    const leapDays =
      Math.floor(dayOfEra / 1460) - Math.floor(dayOfEra / 36_524) + Math.floor(dayOfEra / 146_096);
    const yearOfEra = Math.floor((dayOfEra - leapDays) / 365);
    const dayOfYear =
      dayOfEra - (365 * yearOfEra + Math.floor(yearOfEra / 4) - Math.floor(yearOfEra / 100));
    const monthsSinceMarch = Math.floor((5 * dayOfYear + 2) / 153);
    const day = dayOfYear - Math.floor((153 * monthsSinceMarch + 2) / 5) + 1;
    const month = monthsSinceMarch < 10 ? monthsSinceMarch + 3 : monthsSinceMarch - 9;
    return { year: yearOfEra + era * 400 + (month <= 2 ? 1 : 0), month, day };
  },

  /** Returns the days from 1970-01-01 to a date. `month` 13 is January of the next year. */
  toDays(year: number, month: number, day: number): number {
    if (month > 12) return civilDate.toDays(year + 1, month - 12, day);
    const marchYear = month <= 2 ? year - 1 : year;
    const era = Math.floor(marchYear / 400);
    const yearOfEra = marchYear - era * 400;
    const monthsSinceMarch = month > 2 ? month - 3 : month + 9;
    const dayOfYear = Math.floor((153 * monthsSinceMarch + 2) / 5) + day - 1;
    const dayOfEra =
      yearOfEra * 365 + Math.floor(yearOfEra / 4) - Math.floor(yearOfEra / 100) + dayOfYear;
    return era * ERA_DAYS + dayOfEra - EPOCH_DAY;
  },
};
