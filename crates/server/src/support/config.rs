//! The configuration of one server: the file that `RELAY_CONFIG` names and the environment variables that override
//! it.
//!
//! This module defines the format of the file. It is given bytes and environment variables, and never waits: the
//! caller decides, with `ConfigError::is_incomplete_file`, whether to read an incomplete file again.

use madderbay_settings::{self as settings, Settings, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: String,
    engine: String,
    registry: String,
    /// Absent if this server has no upstream.
    catalog: Option<String>,
    #[serde(default)]
    seed: String,
    stop_ms: u64,
    limits: RawLimits,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct RawLimits {
    memory_mb: usize,
    sockets: usize,
}

/// The reason why there is no valid configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable `RELAY_CONFIG` is not set, or not valid Unicode.
    #[error("RELAY_CONFIG is not set to the path of a configuration")]
    NoPath,
    /// The file can't be read. It may not have been created yet.
    #[error("configuration {path}: {source}")]
    Unreadable {
        /// The path in `RELAY_CONFIG`.
        path: String,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The file ends inside its JSON value. It may still be being written.
    #[error("{0}")]
    Truncated(#[source] ConfigContentError),
    /// The file is complete but invalid.
    #[error("{0}")]
    Invalid(#[source] ConfigContentError),
}

impl ConfigError {
    /// Reports whether the same file may become valid later, because it does not exist or is incomplete.
    pub fn is_incomplete_file(&self) -> bool {
        matches!(
            self,
            ConfigError::Unreadable { .. } | ConfigError::Truncated(_)
        )
    }
}

/// The reason why the content of a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigContentError {
    /// The text is not JSON, or a member is missing or has the wrong type.
    #[error("configuration: {0}")]
    Json(#[source] serde_json::Error),
    /// The server's name is empty, or has a character that is not allowed in the registry's paths.
    #[error("configuration: name '{0}' is empty or not allowed in a URL path")]
    Name(String),
    /// A member that must be an IP address and a port is not.
    #[error("configuration: {member}: '{text}' is not an IP address and port")]
    Address {
        /// The name of the member.
        member: &'static str,
        /// Its value.
        text: String,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("configuration: seed '{0}' is not a hexadecimal number of 64 bits")]
    Seed(String),
    /// The platform's settings are invalid.
    #[error("{0}")]
    Settings(#[source] SettingsError),
}

/// A valid configuration.
pub struct Config {
    /// The server's name, unique in its fleet.
    pub name: String,
    /// The address on which load balancers connect.
    pub listen: SocketAddr,
    /// The address of the engine.
    pub engine: SocketAddr,
    /// The address of the registry.
    pub registry: SocketAddr,
    /// The address of the upstream catalogue, if there is one.
    pub catalogue: Option<SocketAddr>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time between the signal to stop and the kill, in milliseconds.
    pub stop_ms: u64,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// Number of file descriptors that the process may use.
    pub max_descriptors: usize,
    /// The platform's settings.
    pub settings: Settings,
    /// The settings as written in the file, to compare them with those of another file.
    settings_text: Box<str>,
}

impl Config {
    /// Returns the members that differ in `other` and that only a restart can apply.
    pub fn restart_only_differences(&self, other: &Config) -> Vec<&'static str> {
        let limits = |c: &Config| (c.memory_mb, c.max_descriptors);
        let differences = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits", limits(self) != limits(other)),
            ("settings", !self.has_same_settings(other)),
        ];
        let differing = differences.into_iter().filter(|(_, differs)| *differs);
        differing.map(|(member, _)| member).collect()
    }

    /// Reports whether the settings are equal. If the texts differ, their values are compared: white space and the
    /// order of members don't matter.
    fn has_same_settings(&self, other: &Config) -> bool {
        let value = |c: &Config| serde_json::from_str::<serde_json::Value>(&c.settings_text).ok();
        self.settings_text == other.settings_text || value(self) == value(other)
    }
}

/// Reads the file that `RELAY_CONFIG` names and the environment variables that override it.
///
/// # Errors
/// Returns an error if the variable is not set, the file can't be read or its content is invalid.
pub fn load() -> Result<Config, ConfigError> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::NoPath)?;
    let json = match std::fs::read(&path) {
        Ok(json) => json,
        Err(source) => return Err(ConfigError::Unreadable { path, source }),
    };
    parse(&json, |name| std::env::var(name).ok()).map_err(|error| {
        if is_truncated(&json) {
            ConfigError::Truncated(error)
        } else {
            ConfigError::Invalid(error)
        }
    })
}

/// Parses the content of a configuration. `RELAY_NAME` and `RELAY_LISTEN`, looked up by `variable`, override the
/// file's members.
///
/// # Errors
/// The first member that is missing or invalid.
pub fn parse(
    json: &[u8],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigContentError> {
    let raw: RawConfig = serde_json::from_slice(json).map_err(ConfigContentError::Json)?;
    let listen = variable("RELAY_LISTEN").unwrap_or(raw.listen);
    let catalogue = raw.catalog.map(|text| address(text, "catalog"));
    Ok(Config {
        name: name(variable("RELAY_NAME").unwrap_or(raw.name))?,
        listen: address(listen, "listen")?,
        engine: address(raw.engine, "engine")?,
        registry: address(raw.registry, "registry")?,
        catalogue: catalogue.transpose()?,
        seed: seed(raw.seed)?,
        stop_ms: raw.stop_ms,
        memory_mb: raw.limits.memory_mb,
        max_descriptors: raw.limits.sockets,
        settings: settings::read(raw.settings.get().as_bytes())
            .map_err(ConfigContentError::Settings)?,
        settings_text: raw.settings.get().into(),
    })
}

/// Reports whether the text ends inside its JSON value.
fn is_truncated(json: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(json).is_err_and(|e| e.is_eof())
}

/// Validates the server's name, which is part of the path of its reports to the registry.
fn name(text: String) -> Result<String, ConfigContentError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if text.is_empty() || !text.bytes().all(is_allowed) {
        return Err(ConfigContentError::Name(text));
    }
    Ok(text)
}

fn address(text: String, member: &'static str) -> Result<SocketAddr, ConfigContentError> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(ConfigContentError::Address { member, text }),
    }
}

fn seed(text: String) -> Result<u64, ConfigContentError> {
    u64::from_str_radix(text.trim_start_matches("0x"), 16)
        .map_err(|_| ConfigContentError::Seed(text))
}
