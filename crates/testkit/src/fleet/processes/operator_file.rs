//! Writes the sections of a server's operator file that depend on the fleet's setup.

use crate::fleet::relay::DatagramRelays;
use crate::fleet::script::FleetSetup;
use madderbay::time::Duration;
use std::path::Path;

/// Header of the first section that [`quota`] writes.
pub(super) const QUOTA_SECTION: &str = "[shared]";

pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_millis()
}

/// Returns the `[members]` and `[control]` sections of a server.
pub(super) fn members(
    setup: &FleetSetup,
    index: usize,
    relays: &DatagramRelays,
    control_socket: &Path,
) -> String {
    let join: Vec<String> = setup
        .join
        .iter()
        .map(|server| relays.addresses[*server].to_string())
        .collect();
    format!(
        "[members]\nenabled = on\nlisten = 127.0.0.1:0\nadvertise = {}\njoin = {}\nzone = {}\n\
         members = {}\nprobe_ms = {}\nsuspicion_ms = {}\nmemory_s = {}\n[control]\nsocket = {}\n",
        relays.addresses[index],
        join.join(", "),
        setup.zones[index],
        setup.max_members,
        millis(setup.probe),
        millis(setup.suspicion),
        (millis(setup.down_retention) / 1_000).max(1),
        control_socket.display(),
    )
}

/// Returns the sections of a quota with this capacity; empty if the setup has no quota.
pub(super) fn quota(setup: &FleetSetup, name: usize, capacity: u32) -> String {
    let Some(quota) = &setup.budget else {
        return String::new();
    };
    let slot = if quota.slots {
        format!("seat = {}\n", name + 1)
    } else {
        String::new()
    };
    format!(
        "{QUOTA_SECTION}\nenabled = on\n{slot}[budget below]\nhandlers = {}\ncalls = {capacity}\nservers = {}\n\
         lease_ms = {}\nlongest_ms = {}\n",
        quota.handlers,
        quota.servers,
        millis(quota.lease),
        millis(quota.max_call)
    )
}
