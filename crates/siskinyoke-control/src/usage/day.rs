//! Days, by which usage is kept.

use std::fmt;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// A day, counted from 1 January 1970 in universal time.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Day(pub u32);

quick_error! {
    /// A date that cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DateError {
        /// It is not written as year, month and day, or there is no such day.
        Malformed(text: String) {
            display("{text:?} is not a date; hint: write it as 2026-12-31")
        }
    }
}

impl Day {
    /// Returns the day of a time in seconds since 1 January 1970.
    pub fn at(secs: u64) -> Self {
        Self(u32::try_from(secs / 86_400).unwrap_or(u32::MAX))
    }

    /// Returns the day `count` days before this one.
    #[must_use]
    pub const fn before(self, count: u32) -> Self {
        Self(self.0.saturating_sub(count))
    }

    /// Reads a date of the form `2026-12-31`.
    ///
    /// # Errors
    ///
    /// [`DateError::Malformed`] if it is not one, or lies before 1970.
    pub fn parse(text: &str) -> Result<Self, DateError> {
        let malformed = || DateError::Malformed(text.to_owned());
        let year = text.get(..4).and_then(|year| year.parse::<u32>().ok());
        let first = year.filter(|year| *year >= 1970).ok_or_else(malformed)?;
        // The date is looked for rather than computed: a year has few days, and one way of
        // reckoning the calendar is enough.
        let from = (first - 1970) * 365;
        let days = (from..from + 2 * 365).map(Self);
        let mut found = days.filter(|day| day.date() == text);
        found.next().ok_or_else(malformed)
    }

    /// Writes it as a date of the form `2026-12-31`.
    pub fn date(self) -> String {
        let mut year = 1970;
        let mut rest = self.0;
        while rest >= year_length(year) {
            rest -= year_length(year);
            year += 1;
        }
        let mut month = 1;
        while rest >= month_length(year, month) {
            rest -= month_length(year, month);
            month += 1;
        }
        format!("{year:04}-{month:02}-{:02}", rest + 1)
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:06}", self.0)
    }
}

fn leap(year: u32) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn year_length(year: u32) -> u32 {
    if leap(year) { 366 } else { 365 }
}

fn month_length(year: u32, month: u32) -> u32 {
    match month {
        2 if leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}
