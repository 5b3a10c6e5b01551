//! Builds a process from the program's own modules, as the server does at its start.

use super::client::ClientRequests;
use super::process::{ClientConnection, EngineConnection, Process};
use crate::clock::{self, NodeClock};
use crate::fault::Defect;
use crate::history::History;
use crate::ids::{BackendId, ServerId};
use crate::network::{backend_address, server_address};
use crate::upstream::Engine;
use crate::workload::{ENGINE_CORES, Handler, MAX_CALL_TIME, RESULT_CACHE_BYTES};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::{ConcurrencyConfig, PoolConfig, Reserve, UpstreamGroup};
use madderbay_membership::{AllowedNetworks, Membership};
use madderbay_quota::{BudgetSettings, FleetQuotas, LeaseTerms};
use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::core::quota_gate::QuotaGroup;
use madderbay_server::downstream::json_rpc::JsonRpcSession;
use madderbay_server::fleet::backends::Backends;
use madderbay_server::fleet::counter_names::CounterNames;
use madderbay_server::fleet::quota_leases::FleetQuotaSource;
use madderbay_server::support::clock::MonotonicClock;
use madderbay_server::support::io::Outbox;
use madderbay_server::upstream::engine::NoticeReader;
use madderbay_settings::Settings;
use madderbay_upstream::{BackendSettings, FleetStack, UpstreamManager};
use std::cell::RefCell;
use std::rc::Rc;

/// The fraction of the concurrency limits that is held in reserve.
const RESERVE_FRACTION: f64 = 0.1;
/// The retry ratio under [`Defect::UnboundedRetries`].
const UNBOUNDED_RETRY_RATIO: f64 = 1.0;

const LEASE: Duration = Duration::from_millis(1_000);
const LEASE_GUARD: Duration = Duration::from_millis(50);
/// The longest call time that quota leases allow for under [`Defect::ShortLeaseTerms`].
const TOO_SHORT_CALL_TIME: Duration = Duration::from_millis(20);

const FLEET_NAME: &str = "lab";
const QUOTA_NAME: &str = "below";
const MAX_MEMBERS: usize = 2_000;
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The suspicion timeout under [`Defect::EndlessSuspicion`].
const ENDLESS_SUSPICION_TIMEOUT: Duration = Duration::from_millis(3_000_000);
const DOWN_RETENTION: Duration = Duration::from_millis(60_000);

/// The inputs from which one process is built.
pub(super) struct ProcessBuilder<'a> {
    id: ServerId,
    incarnation: u32,
    now: Timestamp,
    /// The start time on the server's own clock.
    monotonic_now: Timestamp,
    monotonic_clock: MonotonicClock,
    seed: u64,
    history: &'a History,
}

impl<'a> ProcessBuilder<'a> {
    /// Creates a builder. Sets the server's clock, because the modules read it when they are created.
    pub(super) fn new(
        id: ServerId,
        incarnation: u32,
        clock: &NodeClock,
        now: Timestamp,
        seed: u64,
        history: &'a History,
    ) -> ProcessBuilder<'a> {
        ProcessBuilder {
            id,
            incarnation,
            now,
            monotonic_now: clock.advance_to(now),
            monotonic_clock: clock.as_monotonic_clock(),
            seed,
            history,
        }
    }

    /// Builds the process and connects it to its clients and its engine.
    pub(super) fn start_process(self, settings: &Settings) -> Process {
        let features = self.history.features;
        let mut event_loop =
            EventLoop::new(self.now, self.seed, settings.clone(), RESULT_CACHE_BYTES);
        if features.concurrency {
            event_loop.set_concurrency_limits(self.now, self.concurrency_limits(settings));
        }
        let backends = features.backends.then(|| Rc::new(self.backends()));
        if let Some(backends) = &backends {
            event_loop.set_backend_selector(backends.clone());
        }
        let quotas = features.quota.then(|| self.quotas());
        let fleet = features.membership.then(|| {
            let stack = self.fleet_stack(quotas, backends.as_deref());
            Rc::new(RefCell::new(stack))
        });
        if let Some(fleet) = fleet.as_ref().filter(|_| features.quota) {
            let source = self.quota_source(fleet.clone());
            event_loop.set_quota_source(Rc::new(source), vec![quota_group()]);
        }
        let engine = self.connect_engine(&mut event_loop);
        let client = self.connect_client(&mut event_loop);
        Process::new(event_loop, client, engine, fleet, backends)
    }

    fn has_defect(&self, defect: Defect) -> bool {
        self.history.defect == Some(defect)
    }

    fn zone_of(&self, index: usize) -> String {
        format!("z{}", index % self.history.zones)
    }

    fn concurrency_limits(&self, settings: &Settings) -> ConcurrencyConfig {
        let upstream_groups = if self.history.features.backends {
            vec![UpstreamGroup {
                handlers: Handler::CALLING_UPSTREAM.to_vec(),
                quota_fraction: 1.0,
            }]
        } else {
            vec![]
        };
        ConcurrencyConfig {
            pools: vec![
                pool("books", Handler::Booking, 1.0),
                pool("searches", Handler::Search, 0.0),
            ],
            reserve: Some(Reserve {
                handlers: vec![],
                fraction: RESERVE_FRACTION,
            }),
            call_quota: Some(settings.upstream.quota),
            abandoned_call_lifetime: settings.upstream.abandoned_call_lifetime,
            cores: ENGINE_CORES as usize,
            upstream_groups,
            ..ConcurrencyConfig::default()
        }
    }

    fn backends(&self) -> Backends {
        let mut settings = madderbay_upstream::Settings {
            zone: self.zone_of(self.id.0).as_str().into(),
            ..madderbay_upstream::Settings::default()
        };
        if self.has_defect(Defect::UnboundedRetries) {
            settings.retry_ratio = UNBOUNDED_RETRY_RATIO;
        }
        let backends = (0..self.history.backends).map(|index| self.backend_settings(index));
        let manager =
            UpstreamManager::new(self.monotonic_now, self.seed, settings, backends.collect());
        Backends::over(Rc::new(RefCell::new(manager)), self.monotonic_clock.clone())
    }

    fn backend_settings(&self, index: usize) -> BackendSettings {
        BackendSettings {
            name: format!("b{index}").as_str().into(),
            address: backend_address(BackendId(index)),
            zone: self.zone_of(index).as_str().into(),
            weight: 1.0,
            handlers: Handler::CALLING_UPSTREAM.to_vec(),
        }
    }

    fn quotas(&self) -> FleetQuotas {
        let max_call = if self.has_defect(Defect::ShortLeaseTerms) {
            TOO_SHORT_CALL_TIME
        } else {
            MAX_CALL_TIME
        };
        let budget = BudgetSettings {
            name: QUOTA_NAME.into(),
            capacity: self.history.quota,
            max_servers: self.history.servers as u32,
            slot: Some(self.id.0 as u32 + 1),
            weight: 1.0,
            terms: LeaseTerms {
                lease: LEASE,
                max_call,
                guard: LEASE_GUARD,
            },
        };
        let settings = madderbay_quota::Settings {
            name: self.id.to_string().as_str().into(),
            incarnation: (self.id.0 as u64 + 1) << 32 | u64::from(self.incarnation),
            budgets: vec![budget],
            counters: vec![],
        };
        FleetQuotas::new(self.monotonic_now, self.seed, settings)
    }

    fn fleet_stack(&self, quotas: Option<FleetQuotas>, backends: Option<&Backends>) -> FleetStack {
        let settings = self.membership_settings();
        let unix_ms = clock::unix_ms(self.now);
        let membership = Membership::new(self.monotonic_now, unix_ms, self.seed, settings);
        let mut stack = FleetStack::new(membership, quotas);
        stack.set_upstream(backends.map(|backends| backends.manager().clone()));
        stack
    }

    fn membership_settings(&self) -> madderbay_membership::Settings {
        let loopback = "127.0.0.0/8".parse().expect("a valid network");
        let suspicion_timeout = if self.has_defect(Defect::EndlessSuspicion) {
            ENDLESS_SUSPICION_TIMEOUT
        } else {
            SUSPICION_TIMEOUT
        };
        madderbay_membership::Settings {
            name: self.id.to_string().as_str().into(),
            advertise: server_address(self.id),
            zone: self.zone_of(self.id.0).as_str().into(),
            fleet: FLEET_NAME.into(),
            join: vec![server_address(ServerId(0)), server_address(ServerId(1))],
            allowed_networks: AllowedNetworks::new([loopback]),
            max_members: MAX_MEMBERS,
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            suspicion_timeout,
            down_retention: DOWN_RETENTION,
            local_health_aware: true,
        }
    }

    fn quota_source(&self, fleet: Rc<RefCell<FleetStack>>) -> FleetQuotaSource {
        FleetQuotaSource::new(
            fleet,
            CounterNames::default(),
            self.monotonic_clock.clone(),
            Box::new(|| {}),
        )
    }

    fn connect_engine(&self, event_loop: &mut EventLoop) -> EngineConnection {
        let mut notices = NoticeReader::default();
        notices.link_opened();
        let output = Outbox::default();
        event_loop
            .engine_link_mut()
            .attach(output.clone(), notices.serial());
        EngineConnection {
            engine: Engine::new(self.now, ENGINE_CORES),
            output,
            notices,
        }
    }

    fn connect_client(&self, event_loop: &mut EventLoop) -> ClientConnection {
        let output = Outbox::default();
        let connection = event_loop.connection_opened(self.now, output.clone());
        ClientConnection {
            session: JsonRpcSession::new(connection),
            output,
            requests: ClientRequests::default(),
        }
    }
}

fn pool(name: &str, handler: Handler, call_weight: f64) -> PoolConfig {
    PoolConfig {
        name: name.into(),
        handlers: vec![handler.id()],
        call_weight,
        ..PoolConfig::default()
    }
}

fn quota_group() -> QuotaGroup {
    QuotaGroup {
        handlers: Handler::CALLING_UPSTREAM.to_vec(),
        max_call_wait: MAX_CALL_TIME,
    }
}
