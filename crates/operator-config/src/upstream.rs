//! The upstream backends and how calls are distributed among them (`[routes]`, `[backend NAME]`).

use crate::error::Problem;
use crate::file::OperatorFile;
use crate::handler_groups::{self, HANDLERS};
use crate::keys::{AddressKey, ENABLED, NameKey, NumberKey, WordKey, on_off};
use crate::names::Names;
use crate::section::Section;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const HEDGING: WordKey<bool> = on_off("hedges", true);
const MIN_LOCAL_FRACTION: NumberKey<f64> = NumberKey {
    name: "near_least",
    range: 0.01..=1.0,
    default: 0.7,
};
const MAX_EJECTED_FRACTION: NumberKey<f64> = NumberKey {
    name: "out_most",
    range: 0.0..=0.9,
    default: 0.3,
};
const RETRY_RATIO: NumberKey<f64> = NumberKey {
    name: "repeats",
    range: 0.0..=1.0,
    default: 0.1,
};
const GOSSIP: WordKey<bool> = on_off("shares", true);
/// In `[routes]`, it defaults to the zone of `[members]`.
const ZONE: NameKey<'static> = NameKey {
    name: "zone",
    default: "",
};
const ROUTES_KEYS: &[&str] = &[
    ENABLED.name,
    HEDGING.name,
    MIN_LOCAL_FRACTION.name,
    MAX_EJECTED_FRACTION.name,
    RETRY_RATIO.name,
    GOSSIP.name,
    ZONE.name,
];

/// A required key; the default is used only after its absence has been reported.
const ADDRESS: AddressKey = AddressKey {
    name: "address",
    default: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1)),
};
/// The upper bound keeps one backend from taking nearly all calls from the others.
const WEIGHT: NumberKey<f64> = NumberKey {
    name: "weight",
    range: 0.01..=100.0,
    default: 1.0,
};
const BACKEND_KEYS: &[&str] = &[ADDRESS.name, HANDLERS, WEIGHT.name, ZONE.name];

/// Upper bound on the number of backends.
const MAX_BACKENDS: usize = 5_000;

/// How calls are distributed among backends.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Availability zone of this server; may be empty.
    pub zone: String,
    /// Maximum fraction of a group of backends that may be ejected at the same time, 0 to 0.9.
    pub max_ejected_fraction: f64,
    /// Minimum fraction of the local zone's weight that has to be available for all calls to stay in the
    /// zone, 0.01 to 1.
    pub min_local_fraction: f64,
    /// Retry budget: number of retries allowed per first attempt, 0 to 1. Hedges count as retries.
    pub retry_ratio: f64,
    /// Whether hedged requests are sent.
    pub hedging: bool,
    /// Whether this server sends its outlier detection results to other servers and takes theirs into account.
    pub gossip: bool,
    /// The backends in the order of the file.
    pub backends: Vec<Backend>,
}

/// One upstream backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the backend, unique in the file.
    pub name: String,
    /// Address of the backend, unique in the file.
    pub address: SocketAddr,
    /// Availability zone; may be empty.
    pub zone: String,
    /// Weight among the backends of the same handlers, 0.01 to 100.
    pub weight: f64,
    /// Handlers whose calls it serves. Two backends have either the same handlers or none in common.
    pub handlers: Names,
}

/// Reads `[routes]` and all `[backend NAME]`. `member_zone` is the zone of `[members]`, if that is
/// enabled.
pub(crate) fn read(file: &mut OperatorFile, member_zone: Option<&str>) -> Option<RoutingConfig> {
    let head = file.take_one("routes", ROUTES_KEYS);
    let sections = file.take("backend", BACKEND_KEYS);
    let Some(head) = head else {
        file.require_section(&sections, "routes");
        return None;
    };
    let enabled = file.word(&head, &ENABLED);
    let backends = handler_groups::read_each(file, &sections, |file, section, earlier| {
        let backend = read_backend(file, section);
        check_against_earlier(file, section, &backend, earlier);
        backend
    });
    if enabled && backends.is_empty() {
        file.key_error(&head, ENABLED.name, Problem::NoBackends);
    }
    if backends.len() > MAX_BACKENDS {
        file.section_error(&head, Problem::TooManyBackends { max: MAX_BACKENDS });
    }
    let routes = RoutingConfig {
        zone: file.name(
            &head,
            &ZONE.with_default(member_zone.unwrap_or(ZONE.default)),
        ),
        max_ejected_fraction: file.number(&head, MAX_EJECTED_FRACTION),
        min_local_fraction: file.number(&head, MIN_LOCAL_FRACTION),
        retry_ratio: file.number(&head, RETRY_RATIO),
        hedging: file.word(&head, &HEDGING),
        gossip: file.word(&head, &GOSSIP),
        backends,
    };
    enabled.then_some(routes)
}

fn read_backend(file: &mut OperatorFile, section: &Section) -> Backend {
    file.require_section_name(section);
    file.require_key(section, ADDRESS.name);
    let address = file.address(section, &ADDRESS);
    if address.ip().is_unspecified() || address.port() == 0 {
        let problem = Problem::UnusableBackendAddress(address);
        file.key_error(section, ADDRESS.name, problem);
    }
    Backend {
        name: section.name.clone(),
        address,
        zone: file.name(section, &ZONE),
        weight: file.number(section, WEIGHT),
        handlers: handler_groups::read(file, section, "backend"),
    }
}

/// Reports a backend that has only some of the handlers of an earlier one, or its address.
fn check_against_earlier(
    file: &mut OperatorFile,
    section: &Section,
    backend: &Backend,
    earlier: &[Backend],
) {
    if let Some(other) = earlier.iter().find(|other| overlaps_partly(other, backend)) {
        let problem = Problem::PartlySharedHandlers(other.name.clone());
        file.key_error(section, HANDLERS, problem);
    }
    if let Some(other) = earlier
        .iter()
        .find(|other| other.address == backend.address)
    {
        let problem = Problem::BackendAddressTaken(other.name.clone());
        file.key_error(section, ADDRESS.name, problem);
    }
}

/// Reports whether two backends have some, but not all, handlers in common.
fn overlaps_partly(a: &Backend, b: &Backend) -> bool {
    let sorted = |backend: &Backend| {
        let mut names = backend.handlers.names.clone();
        names.sort();
        names
    };
    let mut handlers = a.handlers.names.iter();
    sorted(a) != sorted(b) && handlers.any(|handler| b.handlers.names.contains(handler))
}
