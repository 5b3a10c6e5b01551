//! This server's place in its fleet: the socket of `[members]`, and the fleet's state that the gossip task drives.
//!
//! It owns the socket together with that task. Without `[members]` there is no endpoint.

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

/// The fleet's state, and the socket on which its datagrams travel.
pub(crate) struct FleetEndpoint {
    fleet: Rc<Fleet>,
    socket: Rc<UdpSocket>,
}

/// What a server joins its fleet with.
pub(crate) struct FleetSetup<'a> {
    /// The server's configuration.
    pub(crate) config: &'a Config,
    /// The section `[members]`.
    pub(crate) members: &'a MembershipConfig,
    /// Quotas and counters, where `[shared]` is on.
    pub(crate) quota: Option<QuotaPlan>,
    /// The backends whose state the fleet exchanges, where `[routes]` is on.
    pub(crate) backends: Option<Rc<Backends>>,
    /// The clock of the fleet's state machines.
    pub(crate) clock: MonotonicClock,
    /// Added to the clock that distinguishes incarnations, in milliseconds.
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

    /// The fleet's state.
    pub(crate) fn fleet(&self) -> &Rc<Fleet> {
        &self.fleet
    }

    /// Notifies the fleet that this server leaves; the last datagrams are sent at once.
    pub(crate) fn leave(&self) {
        self.fleet.leave(&self.socket);
    }
}

/// The fleet's state, from the server's name and the sections that are on.
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

/// The Unix time of this start, in milliseconds: a later start of the same server has a greater one.
fn incarnation(incarnation_offset_ms: i64) -> u64 {
    (clock::unix_micros() / 1_000).saturating_add_signed(incarnation_offset_ms)
}
