//! Counters of each handler: its requests by stage, its hung runs and its mean run duration.
//!
//! [`requests`](crate::requests) updates the counters with each event of a request, and keeps them
//! consistent with the requests.

use crate::request_stage::RequestStage;
use madderbay::interface::{CallRequirement, HandlerId};
use madderbay::time::Timestamp;

/// Weight of the newest run in the mean run duration; the mean covers about ten runs.
const RUN_DURATION_WEIGHT: f64 = 0.1;

/// Counters of one handler.
#[derive(Clone, Debug)]
pub(crate) struct HandlerLoad {
    pub(crate) call_requirement: CallRequirement,
    pub(crate) queued: usize,
    pub(crate) running: usize,
    pub(crate) awaiting_call: usize,
    pub(crate) calling: usize,
    /// Runs that the engine does not end and that no longer occupy a permit.
    pub(crate) hung: usize,
    /// Mean run duration; `None` before the first run ended.
    pub(crate) mean_run_secs: Option<f64>,
    /// When a run last continued without its call.
    pub(crate) call_skipped_at: Option<Timestamp>,
}

impl HandlerLoad {
    fn new(call_requirement: CallRequirement) -> HandlerLoad {
        HandlerLoad {
            call_requirement,
            queued: 0,
            running: 0,
            awaiting_call: 0,
            calling: 0,
            hung: 0,
            mean_run_secs: None,
            call_skipped_at: None,
        }
    }

    /// Returns the counter of a stage.
    pub(crate) fn counter_mut(&mut self, stage: RequestStage) -> &mut usize {
        match stage {
            RequestStage::Queued => &mut self.queued,
            RequestStage::Running => &mut self.running,
            RequestStage::AwaitingCall => &mut self.awaiting_call,
            RequestStage::Calling => &mut self.calling,
        }
    }

    pub(crate) fn runs(&self) -> usize {
        self.running + self.awaiting_call + self.calling
    }

    /// Returns the number of runs that use no core because they wait for a call or its reply.
    pub(crate) fn runs_blocked_on_calls(&self) -> usize {
        self.awaiting_call + self.calling
    }

    pub(crate) fn makes_calls(&self) -> bool {
        self.call_requirement != CallRequirement::Never
    }

    pub(crate) fn record_run(&mut self, duration_secs: f64) {
        let mean = self.mean_run_secs.unwrap_or(duration_secs);
        self.mean_run_secs = Some(mean + RUN_DURATION_WEIGHT * (duration_secs - mean));
    }
}

/// The counters of all handlers.
pub(crate) struct HandlerTable {
    loads: Vec<HandlerLoad>,
}

impl HandlerTable {
    pub(crate) fn new(call_requirements: &[CallRequirement]) -> HandlerTable {
        HandlerTable {
            loads: call_requirements
                .iter()
                .copied()
                .map(HandlerLoad::new)
                .collect(),
        }
    }

    /// Reports whether the handler is in the settings.
    pub(crate) fn contains(&self, handler: HandlerId) -> bool {
        handler.index() < self.loads.len()
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = HandlerId> + use<> {
        HandlerId::first(self.loads.len())
    }

    pub(crate) fn get(&self, handler: HandlerId) -> &HandlerLoad {
        &self.loads[handler.index()]
    }

    pub(crate) fn get_mut(&mut self, handler: HandlerId) -> &mut HandlerLoad {
        &mut self.loads[handler.index()]
    }

    /// Returns the sum of a counter over some handlers.
    pub(crate) fn sum(
        &self,
        handlers: &[HandlerId],
        counter: impl Fn(&HandlerLoad) -> usize,
    ) -> usize {
        handlers.iter().map(|h| counter(self.get(*h))).sum()
    }

    /// Returns the sum of a counter over all handlers.
    pub(crate) fn total(&self, counter: impl Fn(&HandlerLoad) -> usize) -> usize {
        self.loads.iter().map(counter).sum()
    }
}
