//! What a server is told at its start: RELAY_CONFIG, and the two variables that stand beside it.

use madderbay_settings::{self as settings, Settings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: String,
    engine: String,
    registry: String,
    /// Absent where nothing lies below.
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

/// Everything that one server is told.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub engine: SocketAddr,
    pub registry: SocketAddr,
    pub catalogue: Option<SocketAddr>,
    pub seed: u64,
    pub stop_ms: u64,
    pub memory_mb: usize,
    pub descriptors: usize,
    pub settings: Settings,
    /// The settings as they stood in the file, to tell whether another file's are the same.
    text: Box<str>,
}

impl Config {
    /// What another configuration has otherwise that only a restart can take.
    pub fn fixed_unlike(&self, other: &Config) -> Vec<&'static str> {
        let value = |c: &Config| serde_json::from_str::<serde_json::Value>(&c.text).ok();
        let unlike = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            (
                "limits",
                (self.memory_mb, self.descriptors) != (other.memory_mb, other.descriptors),
            ),
            (
                "settings",
                self.text != other.text && value(self) != value(other),
            ),
        ];
        unlike.into_iter().filter(|u| u.1).map(|u| u.0).collect()
    }
}

fn address(text: &str, what: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{what}: '{text}' is no address and port"))
}

/// Whether the text ends before what it begins does.
pub fn breaks_off(json: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(json).is_err_and(|e| e.is_eof())
}

/// Reads the configuration; says in one line what is missing or can't be. `RELAY_NAME` and `RELAY_LISTEN`,
/// where they are set, stand above the file.
pub fn read(json: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let raw: Raw = serde_json::from_slice(json).map_err(|e| format!("configuration: {e}"))?;
    let seed = u64::from_str_radix(raw.seed.trim_start_matches("0x"), 16);
    let name = variable("RELAY_NAME").unwrap_or(raw.name);
    if name.is_empty()
        || !name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    {
        return Err(format!(
            "configuration: name '{name}' can't stand in a path"
        ));
    }
    Ok(Config {
        name,
        listen: address(
            &variable("RELAY_LISTEN").unwrap_or(raw.listen),
            "configuration: listen",
        )?,
        engine: address(&raw.engine, "configuration: engine")?,
        registry: address(&raw.registry, "configuration: registry")?,
        catalogue: raw
            .catalog
            .map(|c| address(&c, "configuration: catalog"))
            .transpose()?,
        seed: seed.map_err(|_| format!("configuration: seed '{}' is not hexadecimal", raw.seed))?,
        stop_ms: raw.stop_ms,
        memory_mb: raw.limits.memory_mb,
        descriptors: raw.limits.sockets,
        settings: settings::read(raw.settings.get().as_bytes())?,
        text: raw.settings.get().into(),
    })
}
