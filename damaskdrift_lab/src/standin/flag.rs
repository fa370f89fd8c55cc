//! Parsing of command-line flag values.

use std::str;
use std::time::Duration;

use crate::error::Error;

/// Parses the value of the flag that `args` returned last.
///
/// # Errors
///
/// Returns an error when the value is missing or malformed.
pub fn value<T>(args: &mut lexopt::Parser) -> Result<T, Error>
where
    T: str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let value = args.value()?;
    Ok(lexopt::ValueExt::parse(&value)?)
}

/// Parses the value of the flag that `args` returned last as a duration in milliseconds.
///
/// # Errors
///
/// Returns an error when the value is missing or malformed.
pub fn millis(args: &mut lexopt::Parser) -> Result<Duration, Error> {
    value(args).map(Duration::from_millis)
}
