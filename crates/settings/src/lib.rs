//! Reads the platform's settings from JSON into the records of the decision module.
//!
//! [`read`] parses the JSON text and returns [`Settings`], or a [`SettingsError`] that names the
//! first invalid key. It does no I/O and never adjusts values. Unknown keys are ignored.
//!
//! ```
//! let text = r#"{"classes": [], "family_info": {"n_cores": 1, "memory_kb": 1, "blowup": 1},
//!     "permissions": {}, "rules": {"tip_multiple": 1}, "servers": 1}"#;
//! let error = madderbay_settings::read(text.as_bytes()).err().expect("no classes");
//! assert_eq!(error.to_string(), "settings: classes is empty");
//! ```

mod error;
mod raw;
mod records;
mod section;
mod settings;

pub use error::{InvalidValue, NumberRange, SettingsError};
pub use settings::Settings;

/// Reads the settings from their JSON text.
///
/// # Errors
/// Fails if the text is not JSON, or a key is missing or has a value of another type; otherwise
/// returns the first key whose value is invalid.
pub fn read(json: &[u8]) -> Result<Settings, SettingsError> {
    let raw: raw::Raw = serde_json::from_slice(json).map_err(SettingsError::Json)?;
    records::settings(&raw)
}
