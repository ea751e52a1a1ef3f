//! Arguments and input of directives.

use std::error::Error as StdError;
use std::str::FromStr;

use datadriven::TestCase;
use serde::de::DeserializeOwned;

use crate::Error;

/// Returns an argument, or `default` if it is absent.
pub(crate) fn or_default<T>(case: &mut TestCase, name: &str, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: StdError + Send + Sync + 'static,
{
    Ok(case.try_take_arg(name)?.unwrap_or(default))
}

/// Returns the values of a list argument; empty if it is absent.
pub(crate) fn list(case: &mut TestCase, name: &str) -> Result<Vec<String>, Error> {
    Ok(case.try_take_args(name)?.unwrap_or_default())
}

/// Parses the input as one JSON value.
pub(crate) fn json_input<T: DeserializeOwned>(case: &TestCase) -> Result<T, Error> {
    serde_json::from_str(&case.input).map_err(Error::script)
}
