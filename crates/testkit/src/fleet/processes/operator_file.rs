//! The sections of a server's operator file that a fleet writes.

use crate::fleet::relay::DatagramRelays;
use crate::fleet::script::FleetSetup;
use madderbay::time::Duration;
use std::path::Path;

/// The section that begins what [`budget`] writes.
pub(super) const BUDGET_SECTION: &str = "[shared]";

pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_micros() / 1_000
}

/// The sections of membership and of the control socket.
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
        setup.most,
        millis(setup.probe),
        millis(setup.suspicion),
        (millis(setup.memory) / 1_000).max(1),
        control_socket.display(),
    )
}

/// The section of a budget with this capacity; empty without a budget.
pub(super) fn budget(setup: &FleetSetup, name: usize, capacity: u32) -> String {
    let Some(budget) = &setup.budget else {
        return String::new();
    };
    let slot = if budget.slots {
        format!("seat = {}\n", name + 1)
    } else {
        String::new()
    };
    format!(
        "{BUDGET_SECTION}\nenabled = on\n{slot}[budget below]\nhandlers = {}\ncalls = {capacity}\nservers = {}\n\
         lease_ms = {}\nlongest_ms = {}\n",
        budget.handlers,
        budget.servers,
        millis(budget.lease),
        millis(budget.max_call)
    )
}
