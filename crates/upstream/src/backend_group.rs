//! Backends that serve the same handlers. They are judged together, because a backend is slow or failing only in
//! comparison with the others.
//!
//! [`BackendGroup`] owns the selector, the retry budget and the hedge delay estimator of its backends, and decides
//! which of them are ejected. The backends themselves are in the table of the registry, which is passed to each method.

use crate::backend::Backend;
use crate::backend_id::BackendId;
use crate::backend_state::BackendState;
use crate::backend_table::BackendTable;
use crate::events::BackendEvent;
use crate::gossip::reports::ReceivedReports;
use crate::hedge::delay_estimator::HedgeDelayEstimator;
use crate::outlier::OutlierEvidence;
use crate::retry::budget::RetryBudget;
use crate::selection::{Candidate, ZoneAwareSelector};
use crate::settings::Settings;
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use oorandom::Rand64;

/// A group enters panic mode when more than this fraction of its backends look faulty. In panic mode no backend is
/// ejected, because the cause lies elsewhere or there is no better backend.
const PANIC_FRACTION: f64 = 0.5;
/// Fraction of its weight that a backend with suspicion 1 keeps while it cannot be ejected.
const SUSPECTED_WEIGHT_FRACTION: f64 = 0.1;
/// If every backend of a group has fewer failures than this, no weight is reduced for suspicion.
const MIN_FAILURES_TO_REDUCE_WEIGHT: f64 = 0.05;
/// Latency that is assumed if no call of the group has succeeded.
const DEFAULT_LATENCY_SECONDS: f64 = 0.02;
/// Time, per active peer, over which the servers spread their first probes of a backend that others saw healthy, so
/// that servers that ejected it together do not return together.
const RETURN_SPREAD_PER_PEER: Duration = Duration::from_millis(10);
/// Upper bound on the total of [`RETURN_SPREAD_PER_PEER`] over all peers.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(5_000);

/// Inputs of an evaluation other than the backends.
pub(crate) struct EvaluationContext<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) reports: &'a ReceivedReports,
    pub(crate) active_peers: usize,
}

/// The evidence on one backend.
struct Assessment {
    backend: BackendId,
    evidence: OutlierEvidence,
}

/// The evidence on the backends of a group.
struct GroupAssessment {
    /// The backends that are in selection.
    selectable: Vec<Assessment>,
    /// How many backends are out of selection.
    out_of_selection: usize,
    /// How many backends look faulty, including those out of selection.
    outliers: usize,
}

/// A group of backends that serve the same handlers.
pub(crate) struct BackendGroup {
    handlers: Vec<HandlerId>,
    backends: Vec<BackendId>,
    selector: ZoneAwareSelector,
    /// Backends that get single calls until enough of these have succeeded.
    probing: Vec<BackendId>,
    panic: bool,
    /// Median latency of the group's backends, in seconds.
    typical_latency_seconds: Option<f64>,
    retry_budget: RetryBudget,
    hedge_delay_estimator: HedgeDelayEstimator,
}

impl BackendGroup {
    /// Creates a group without backends. `retry_ratio` is the number of retries allowed per first attempt.
    pub(crate) fn new(now: Timestamp, handlers: Vec<HandlerId>, retry_ratio: f64) -> BackendGroup {
        BackendGroup {
            handlers,
            backends: vec![],
            selector: ZoneAwareSelector::empty(),
            probing: vec![],
            panic: false,
            typical_latency_seconds: None,
            retry_budget: RetryBudget::new(now, retry_ratio),
            hedge_delay_estimator: HedgeDelayEstimator::new(now),
        }
    }

    pub(crate) fn handlers(&self) -> &[HandlerId] {
        &self.handlers
    }

    pub(crate) fn backends(&self) -> &[BackendId] {
        &self.backends
    }

    /// Sets its backends. They take part in selection from the next evaluation on.
    pub(crate) fn set_backends(&mut self, backends: Vec<BackendId>) {
        self.backends = backends;
    }

    /// Reports whether there is a second backend for a retry.
    pub(crate) fn has_alternatives(&self) -> bool {
        self.backends.len() > 1
    }

    /// Returns the median latency of the group's backends, in seconds, or `None` if that of no backend is known.
    pub(crate) fn typical_latency_seconds(&self) -> Option<f64> {
        self.typical_latency_seconds
    }

    pub(crate) fn retry_budget_mut(&mut self) -> &mut RetryBudget {
        &mut self.retry_budget
    }

    pub(crate) fn hedge_delay_estimator_mut(&mut self) -> &mut HedgeDelayEstimator {
        &mut self.hedge_delay_estimator
    }

    /// Evaluates all backends: ejects outliers and rebuilds the selector. `table` holds the backends.
    pub(crate) fn evaluate(
        &mut self,
        now: Timestamp,
        table: &mut BackendTable,
        context: &EvaluationContext,
        rng: &mut Rand64,
        events: &mut Vec<BackendEvent>,
    ) {
        self.hedge_delay_estimator.evaluate_if_due(now);
        let baseline = self.measure_latency(now, table);
        let mut assessed = self.assess(now, table, context, baseline, events);
        self.update_panic(table, assessed.outliers, events);
        if !self.panic {
            let limit = self.max_out_of_selection(context.settings.max_ejected_fraction);
            eject_outliers(now, table, &mut assessed, limit, rng, events);
        }
        self.rebuild_selector(now, table, context.settings, &assessed.selectable);
    }

    /// Returns how many backends may be out of selection at most: a fraction of the group, but at least one if the
    /// group has more than one, and never all.
    fn max_out_of_selection(&self, fraction: f64) -> usize {
        let backends = self.backends.len();
        ((backends as f64 * fraction) as usize)
            .max(1)
            .min(backends.saturating_sub(1))
    }

    /// Takes the median latency of the backends as the typical one. Returns it if it is derived from more than one
    /// backend and can therefore serve as a baseline for them.
    fn measure_latency(&mut self, now: Timestamp, table: &BackendTable) -> Option<f64> {
        let known = self
            .backends
            .iter()
            .filter_map(|id| table[*id].latency_seconds(now));
        let mut latencies: Vec<f64> = known.collect();
        latencies.sort_by(f64::total_cmp);
        // For an even number of backends, the lower of the two middle values is taken: otherwise the slow one of two
        // backends would be the baseline.
        let median = latencies.len().saturating_sub(1) / 2;
        self.typical_latency_seconds = latencies.get(median).copied();
        self.typical_latency_seconds.filter(|_| latencies.len() > 1)
    }

    /// Brings all backends up to date and collects the evidence on those in selection.
    fn assess(
        &self,
        now: Timestamp,
        table: &mut BackendTable,
        context: &EvaluationContext,
        baseline: Option<f64>,
        events: &mut Vec<BackendEvent>,
    ) -> GroupAssessment {
        let return_spread = RETURN_SPREAD_PER_PEER
            .mul_f64(context.active_peers as f64)
            .min(MAX_RETURN_SPREAD);
        let mut assessed = GroupAssessment {
            selectable: vec![],
            out_of_selection: 0,
            outliers: 0,
        };
        for id in &self.backends {
            let backend = &mut table[*id];
            events.extend(backend.advance(now));
            let reports = context.reports.summary(now, backend.name_hash());
            backend.set_reports(reports, return_spread);
            if backend.state().is_out_of_selection() {
                assessed.out_of_selection += 1;
                assessed.outliers += 1;
            } else {
                let evidence = backend.assess(now, baseline);
                assessed.outliers += usize::from(evidence.is_outlier());
                assessed.selectable.push(Assessment {
                    backend: *id,
                    evidence,
                });
            }
        }
        assessed
    }

    fn update_panic(
        &mut self,
        table: &BackendTable,
        outliers: usize,
        events: &mut Vec<BackendEvent>,
    ) {
        let backends = self.backends.len();
        let panic = backends > 1 && outliers as f64 > PANIC_FRACTION * backends as f64;
        if std::mem::replace(&mut self.panic, panic) != panic {
            let name = table[self.backends[0]].name();
            events.push(BackendEvent::PanicModeChanged {
                name,
                active: panic,
                outliers,
                backends,
            });
        }
    }

    fn rebuild_selector(
        &mut self,
        now: Timestamp,
        table: &BackendTable,
        settings: &Settings,
        assessed: &[Assessment],
    ) {
        let weight_fractions = weight_fraction_by_backend(table.slots(), assessed);
        let candidate = |id: &BackendId| {
            let backend = &table[*id];
            let weight = if self.panic {
                backend.settings().weight
            } else {
                backend.weight(now) * weight_fractions[id.index()]
            };
            Candidate {
                backend: *id,
                weight,
                is_local: is_local(backend, settings),
            }
        };
        let candidates: Vec<Candidate> = self.backends.iter().map(candidate).collect();
        let local = candidates.iter().filter(|candidate| candidate.is_local);
        let configured_local_weight: f64 = local
            .map(|candidate| table[candidate.backend].settings().weight)
            .sum();
        let min_local_fraction = settings.min_local_fraction;
        self.selector =
            ZoneAwareSelector::new(&candidates, configured_local_weight, min_local_fraction);
        let is_probing = |id: &BackendId| table[*id].state() == BackendState::Probing;
        self.probing = self.backends.iter().copied().filter(is_probing).collect();
    }

    /// Returns the backend for the next attempt. The backend to `avoid`, if any, is chosen only if there is no other.
    pub(crate) fn pick(
        &mut self,
        now: Timestamp,
        table: &BackendTable,
        avoid: Option<BackendId>,
        rng: &mut Rand64,
    ) -> Option<BackendId> {
        if avoid.is_none()
            && let Some(probed) = self.take_probe(now, table)
        {
            return Some(probed);
        }
        let default_latency_seconds = self
            .typical_latency_seconds
            .unwrap_or(DEFAULT_LATENCY_SECONDS);
        let cost = |id: BackendId| table[id].cost(default_latency_seconds);
        let picked = self.selector.pick(avoid, rng, cost);
        picked.or_else(|| self.backends.first().copied())
    }

    /// Returns a backend that is due for a probe, in whichever zone it is. It gets a single call.
    fn take_probe(&mut self, now: Timestamp, table: &BackendTable) -> Option<BackendId> {
        let due = self
            .probing
            .iter()
            .position(|id| table[*id].accepts_probe(now))?;
        Some(self.probing.remove(due))
    }
}

/// Ejects outliers in order of decreasing suspicion, until the limit of backends out of selection is reached.
fn eject_outliers(
    now: Timestamp,
    table: &mut BackendTable,
    assessed: &mut GroupAssessment,
    max_out_of_selection: usize,
    rng: &mut Rand64,
    events: &mut Vec<BackendEvent>,
) {
    let by_suspicion =
        |a: &Assessment, b: &Assessment| b.evidence.suspicion().total_cmp(&a.evidence.suspicion());
    assessed.selectable.sort_by(by_suspicion);
    for Assessment { backend, evidence } in assessed
        .selectable
        .iter()
        .filter(|assessment| assessment.evidence.is_outlier())
    {
        if assessed.out_of_selection >= max_out_of_selection {
            break;
        }
        assessed.out_of_selection += 1;
        let backend = &mut table[*backend];
        backend.eject(now, rng.rand_float());
        events.push(BackendEvent::Ejected {
            name: backend.name(),
            evidence: evidence.clone(),
            ejection_time: backend.remaining_ejection(now),
        });
    }
}

/// Returns the fraction of its weight that each backend keeps, by index. It is below 1 if this server's own results
/// indicate a fault.
fn weight_fraction_by_backend(backends: usize, assessed: &[Assessment]) -> Vec<f64> {
    let mut weight_fractions = vec![1.0; backends];
    if assessed
        .iter()
        .any(|assessment| assessment.evidence.failures >= MIN_FAILURES_TO_REDUCE_WEIGHT)
    {
        for Assessment { backend, evidence } in assessed {
            let suspicion = evidence.own_suspicion();
            weight_fractions[backend.index()] = 1.0 - (1.0 - SUSPECTED_WEIGHT_FRACTION) * suspicion;
        }
    }
    weight_fractions
}

/// Reports whether a backend is in this server's zone. If the server has no zone, all backends are.
fn is_local(backend: &Backend, settings: &Settings) -> bool {
    settings.zone.is_empty() || backend.settings().zone == settings.zone
}
