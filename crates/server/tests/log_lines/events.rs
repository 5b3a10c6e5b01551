//! Log lines of the events of the fleet's crates, with at least one line for each event and each cause.

use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::{AdjustmentCause, LimitChange};
use madderbay_membership::{
    ChangeReason, Connectivity, ConnectivityEvidence, ConnectivityStatus, MemberState,
    MembershipEvent,
};
use madderbay_quota::{BudgetEvent, ChangeCause};
use madderbay_upstream::{BackendEvent, BackendState, OutlierEvidence};
use std::net::SocketAddr;

fn membership_events() -> Vec<String> {
    let address: SocketAddr = ([10, 0, 0, 9], 7_946).into();
    let since_received = Some(Duration::from_millis(1_500));
    let changed = |from, to, reason| MembershipEvent::StateChanged {
        name: "n3".into(),
        address,
        from: Some(from),
        to,
        reason,
    };
    let connectivity = |level| MembershipEvent::ConnectivityChanged {
        status: ConnectivityStatus {
            level,
            since: Timestamp::default(),
            evidence: ConnectivityEvidence::default(),
        },
        at: Timestamp::default(),
    };
    use MemberState::{Alive, Down, Draining, Joining, Suspect};
    let events = [
        changed(Joining, Joining, ChangeReason::Discovered),
        changed(Alive, Suspect, ChangeReason::ProbeFailed { since_received }),
        changed(
            Suspect,
            Down,
            ChangeReason::SuspicionExpired { since_received },
        ),
        changed(Alive, Draining, ChangeReason::Announced),
        changed(Suspect, Alive, ChangeReason::Refuted),
        changed(Down, Alive, ChangeReason::Recovered),
        changed(Alive, Alive, ChangeReason::Restarted { from: 5, to: 9 }),
        connectivity(Connectivity::Complete),
        connectivity(Connectivity::Partial),
        connectivity(Connectivity::Isolated),
        MembershipEvent::Paused {
            duration: Duration::from_millis(250),
        },
        MembershipEvent::IncarnationSuperseded { incarnation: 7 },
        MembershipEvent::IdentityRenewed { revision: 3 },
        MembershipEvent::NameConflict { address },
        MembershipEvent::NameRegained,
    ];
    events
        .iter()
        .map(|event| format!("membership: {event}"))
        .collect()
}

fn quota_events() -> Vec<String> {
    let causes = [
        ChangeCause::Leased,
        ChangeCause::Granted,
        ChangeCause::Returned,
        ChangeCause::Expired,
        ChangeCause::StartupWaitOver,
        ChangeCause::Reconfigured,
    ];
    let event = |cause| BudgetEvent {
        budget: "trip-book".into(),
        usable_before: 5,
        usable_after: 9,
        cause,
        granted: 0,
        leased: 4,
    };
    causes
        .iter()
        .map(|cause| format!("quota: {}", event(*cause)))
        .collect()
}

fn upstream_events() -> Vec<String> {
    let ejected = |witnesses, overdue, slowdown| BackendEvent::Ejected {
        name: "b".into(),
        evidence: OutlierEvidence {
            successes: 0.4,
            failures: 3.0,
            overdue,
            slowdown,
            reported_failures: 1.2,
            reporting_zones: 1,
            witnesses,
        },
        ejection_time: Duration::from_millis(2_140),
    };
    let changed = |from, to| BackendEvent::StateChanged {
        name: "b".into(),
        from,
        to,
    };
    let panic_mode = |active| BackendEvent::PanicModeChanged {
        name: "b".into(),
        active,
        outliers: 6,
        backends: 10,
    };
    let configured = |present| BackendEvent::ConfigurationChanged {
        name: "b".into(),
        present,
    };
    let events = [
        ejected(5, 0, None),
        ejected(0, 0, None),
        ejected(5, 2, None),
        ejected(5, 0, Some(6.0)),
        changed(BackendState::Ejected, BackendState::Probing),
        changed(BackendState::Probing, BackendState::Ejected),
        changed(BackendState::Probing, BackendState::SlowStart),
        changed(BackendState::SlowStart, BackendState::Active),
        panic_mode(true),
        panic_mode(false),
        configured(true),
        configured(false),
    ];
    events
        .iter()
        .map(|event| format!("upstream: {event}"))
        .collect()
}

fn concurrency_events() -> Vec<String> {
    let changes = [
        (12.0, 7.2, AdjustmentCause::Queueing),
        (7.2, 12.0, AdjustmentCause::ProbeReverted),
        (7.2, 8.0, AdjustmentCause::Demand),
        (8.0, 4.0, AdjustmentCause::Failures),
        (8.0, 4.0, AdjustmentCause::Silence),
        (4.0, 0.0, AdjustmentCause::CircuitOpened),
        (0.0, 1.0, AdjustmentCause::CircuitHalfOpen),
    ];
    let line = |(from, to, cause)| format!("concurrency: {}", LimitChange { from, to, cause });
    changes.into_iter().map(line).collect()
}

/// Returns one line for each event, without its level.
pub(crate) fn events() -> Vec<String> {
    [
        membership_events(),
        quota_events(),
        upstream_events(),
        concurrency_events(),
    ]
    .concat()
}
