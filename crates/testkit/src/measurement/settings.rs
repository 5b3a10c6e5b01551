//! Platform settings of the measured servers, in JSON.

/// Text in the settings that precedes the value of a server's upstream quota.
const QUOTA_KEY: &str = "\"dep_share\": ";
/// Settings of a server of a fleet, with the handlers `search`, `quote` and `book`.
pub const FLEET: &str = include_str!("settings/fleet.json");
/// Settings of a server in the scenario of [`trips`](super::trips).
pub const TRIPS: &str = include_str!("settings/trips.json");

/// Returns [`FLEET`] with bounds so wide that no server sheds load.
pub fn fleet_without_load_shedding() -> String {
    FLEET
        .replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0")
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
}

/// Returns `settings` with another upstream quota, in calls.
///
/// # Panics
///
/// If the settings have no quota.
pub fn with_quota(settings: &str, quota: f64) -> String {
    let (before, rest) = settings
        .split_once(QUOTA_KEY)
        .expect("the settings have a quota");
    let (_, after) = rest
        .split_once(',')
        .expect("other settings follow the quota");
    format!("{before}{QUOTA_KEY}{quota:.1},{after}")
}
