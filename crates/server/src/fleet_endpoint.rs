//! This server's endpoint in its fleet: the UDP socket set in `[members]`, and the fleet's state machines, which the
//! gossip task drives.
//!
//! The endpoint shares the socket with that task. Without `[members]` there is no endpoint.

use crate::start_error::StartError;
use crate::tasks;
use madderbay_membership::is_valid_name;
use madderbay_operator_config::membership::MembershipConfig;
use madderbay_server::fleet::backends::Backends;
use madderbay_server::fleet::counter_names::CounterNames;
use madderbay_server::fleet::gossip::{Fleet, FleetConfig};
use madderbay_server::fleet::membership_settings::membership_settings;
use madderbay_server::fleet::quota_plan::QuotaPlan;
use madderbay_server::support::clock::{self, MonotonicClock};
use madderbay_server::support::config::Config;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The fleet's state machines, and the socket for their datagrams.
pub(crate) struct FleetEndpoint {
    fleet: Rc<Fleet>,
    socket: Rc<UdpSocket>,
}

/// The values with which a server joins its fleet.
pub(crate) struct FleetSetup<'a> {
    /// The server's configuration.
    pub(crate) config: &'a Config,
    /// The section `[members]`.
    pub(crate) members: &'a MembershipConfig,
    /// Quotas and counters, if `[shared]` is enabled.
    pub(crate) quota: Option<QuotaPlan>,
    /// The backends whose state the fleet exchanges, if `[routes]` is enabled.
    pub(crate) backends: Option<Rc<Backends>>,
    /// The clock of the fleet's state machines.
    pub(crate) clock: MonotonicClock,
    /// Milliseconds added to the Unix time from which the incarnation number is taken.
    pub(crate) incarnation_offset_ms: i64,
}

impl FleetEndpoint {
    /// Binds the socket and starts the gossip task.
    pub(crate) async fn join(setup: FleetSetup<'_>) -> Result<FleetEndpoint, StartError> {
        let address = setup.members.listen;
        let failed = |source| StartError::MembersSocket { address, source };
        let socket = Rc::new(UdpSocket::bind(address).await.map_err(failed)?);
        let advertised = setup.members.advertise;
        let fleet = Rc::new(build_fleet(setup)?);
        tasks::spawn_gossip(&socket, &fleet);
        let bound: SocketAddr = socket.local_addr().map_err(failed)?;
        log::info!("membership: listening, address={bound}, advertised={advertised}");
        Ok(FleetEndpoint { fleet, socket })
    }

    /// Returns the fleet's state machines.
    pub(crate) fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// Notifies the fleet that this server is leaving, and sends the last datagrams at once.
    pub(crate) fn leave(&self) {
        self.fleet.leave(&self.socket);
    }
}

/// Creates the fleet's state machines from the server's name and the enabled sections of the operator file.
fn build_fleet(setup: FleetSetup<'_>) -> Result<Fleet, StartError> {
    let config = setup.config;
    if !is_valid_name(&config.name) {
        let name = config.name.clone();
        return Err(StartError::MemberName { name });
    }
    let (quotas, counter_names) = match setup.quota {
        Some(quota) => (Some(quota.settings), quota.counter_names),
        None => (None, CounterNames::default()),
    };
    let fleet_config = FleetConfig {
        seed: config.seed,
        incarnation: incarnation(setup.incarnation_offset_ms),
        membership: membership_settings(setup.members, &config.name),
        quotas,
        counter_names,
        backends: setup.backends,
    };
    Ok(Fleet::new(fleet_config, setup.clock))
}

/// Returns the incarnation number: the Unix time of this start in milliseconds, so that a later start of the same
/// server has a greater number.
fn incarnation(incarnation_offset_ms: i64) -> u64 {
    (clock::unix_micros() / 1_000).saturating_add_signed(incarnation_offset_ms)
}
