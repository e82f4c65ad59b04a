//! Parses JSON with comments; errors name the key that caused them.

use serde::de::DeserializeOwned;

/// Why a text could not be parsed into a type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the key.
    pub key: String,
    /// What is wrong, with line and column.
    pub message: String,
}

/// Parses JSON with `//` and `/* */` comments; nothing else may follow the value.
///
/// # Errors
///
/// The first [`Fault`].
///
/// ```
/// use jacinthfall::util::jsonc;
/// let numbers: Vec<u8> = jsonc::parse("[1, /* two */ 2]").unwrap();
/// assert_eq!(numbers, [1, 2]);
/// let fault = jsonc::parse::<Vec<u8>>("[1, -2]").unwrap_err();
/// assert_eq!(fault.key, "[1]");
/// assert!(jsonc::parse::<Vec<u8>>("[1] 2").is_err());
/// ```
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let mut json = serde_json::Deserializer::from_reader(stripped);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| Fault {
        key: error.path().to_string(),
        message: error.inner().to_string(),
    })?;
    json.end().map_err(|error| Fault { key: ".".to_owned(), message: error.to_string() })?;
    Ok(value)
}
