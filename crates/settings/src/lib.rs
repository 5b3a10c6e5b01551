//! The platform's settings: JSON in, the decision module's records out.
//!
//! [`read`] is given the JSON text and returns [`Settings`], or a [`SettingsError`] that names the
//! first key that is wrong. It does no I/O and never changes what it is given; keys that it does
//! not know are ignored.
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
/// The text is not JSON, or a key is missing or has a value of another type; otherwise the first
/// key whose value can't be.
pub fn read(json: &[u8]) -> Result<Settings, SettingsError> {
    let raw: raw::Raw = serde_json::from_slice(json).map_err(SettingsError::Json)?;
    records::settings(&raw)
}
