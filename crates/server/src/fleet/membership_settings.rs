//! Converts the section `[members]` of the operator file to the settings of the membership's state machine.

use madderbay::time::Duration;
use madderbay_membership::{AllowedNetworks, Settings};
use madderbay_operator_config::membership::MembershipConfig;

/// Fraction of the probe interval after which other members are asked to probe as well. They need the rest of the
/// interval for their probes.
const PROBE_TIMEOUT_FRACTION: f64 = 0.4;

/// Returns the membership settings of the server that has the name `name` in the configuration.
pub fn membership_settings(section: &MembershipConfig, name: &str) -> Settings {
    let probe_interval = Duration::from_millis(section.probe_ms);
    Settings {
        name: name.into(),
        advertise: section.advertise,
        zone: section.zone.as_str().into(),
        fleet: section.fleet.clone(),
        join: section.join.clone(),
        allowed_networks: AllowedNetworks::new(section.networks.iter().copied()),
        max_members: section.max_members,
        probe_interval,
        probe_timeout: probe_interval.mul_f64(PROBE_TIMEOUT_FRACTION),
        suspicion_timeout: Duration::from_millis(section.suspicion_ms),
        down_retention: Duration::from_millis(section.down_retention_s * 1_000),
        local_health_aware: true,
    }
}
