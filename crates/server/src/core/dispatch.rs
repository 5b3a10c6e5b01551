//! Where calls go when what lies below is many backends: each attempt, what came of it, and whether there is
//! another. Who is chosen, and what may be made again, is asked of the [`BackendSelector`].

use super::in_flight::{Deadline, InFlightRequests};
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{AttemptOutcome, RetryKind, UpstreamAttempt};

/// Whoever knows the backends and how they fare. Times are its own.
pub trait BackendSelector {
    /// Where the call of a handler goes; nothing where it goes to the catalogue.
    fn pick(&self, handler: usize) -> Option<UpstreamAttempt>;
    /// One more attempt, within the budget of repeats.
    fn again(&self, before: &UpstreamAttempt, how: RetryKind) -> Option<UpstreamAttempt>;
    fn over(&self, ticket: &UpstreamAttempt, end: AttemptOutcome);
    /// After what time a second attempt beside this one is worth its price.
    fn hedge_after(&self, ticket: &UpstreamAttempt) -> Option<Duration>;
    /// The least time that an attempt needs.
    fn least(&self, ticket: &UpstreamAttempt) -> Duration;
    fn counters(&self) -> String;
}

/// One attempt of a call that is out: on which connection, and at which backend.
pub struct BackendAttempt {
    pub wire: u64,
    pub ticket: UpstreamAttempt,
    pub since: Timestamp,
}

/// What an outcome tells of a backend; `replied` where the backend said so itself.
fn end(how: Outcome, replied: bool) -> AttemptOutcome {
    match how {
        Outcome::Completed => AttemptOutcome::Success,
        Outcome::Rejected => AttemptOutcome::Rejected,
        Outcome::Failed => AttemptOutcome::Failed,
        Outcome::TimedOut => AttemptOutcome::TimedOut,
        // No run waited for it, or it was not reached.
        Outcome::Unreachable if replied => AttemptOutcome::Cancelled,
        Outcome::Unreachable => AttemptOutcome::NotConnected,
        Outcome::Disconnected => AttemptOutcome::Disconnected,
        Outcome::Cancelled | Outcome::AlreadyEnded => AttemptOutcome::Cancelled,
    }
}

impl InFlightRequests {
    /// Where the next call of a req goes: to a backend where its handler has any, else, with nothing, to the
    /// catalogue. An error where it was made before, and the budget of repeats has no room for one more.
    pub(super) fn lead(&self, id: u64) -> Result<Option<UpstreamAttempt>, ()> {
        let (Some(leads), Some(req)) = (&self.backend_selector, self.requests.get(&id)) else {
            return Ok(None);
        };
        match &req.called {
            Some((need, before)) if *need == req.need => leads
                .again(before, RetryKind::AfterBackoff)
                .map(Some)
                .ok_or(()),
            _ => Ok(leads.pick(req.handler)),
        }
    }

    /// Sends the call of a req off.
    pub(super) fn send_call(&mut self, id: u64, patience: Duration, to: Option<UpstreamAttempt>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        match to {
            None => {
                let (name, wants) = (req.name, &req.wants);
                self.calls.fetch(self.now, id, &name, patience, wants, None);
            }
            Some(ticket) => {
                let hedge = self
                    .backend_selector
                    .as_ref()
                    .filter(|_| self.quota_gate.is_none() && self.replayable[req.handler]);
                let hedge = hedge
                    .and_then(|l| l.hedge_after(&ticket))
                    .filter(|after| *after < patience);
                self.attempt(id, ticket, patience);
                if let (Some(after), Some(req)) = (hedge, self.requests.get_mut(&id)) {
                    let at = self.now + after;
                    req.hedge = Some(at);
                    self.due.insert((at, Deadline::Hedge(id)));
                }
            }
        }
    }

    fn attempt(&mut self, id: u64, ticket: UpstreamAttempt, patience: Duration) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.called = Some((req.need, ticket.clone()));
        let wire = self.calls.fetch(
            self.now,
            id,
            &req.name,
            patience,
            &req.wants,
            Some(ticket.address),
        );
        req.tries.push(BackendAttempt {
            wire,
            ticket,
            since: self.now,
        });
    }

    /// An attempt of a call came to its end. True where the call goes on: another attempt of it is out, or is
    /// made now. Made again is only what is proven not to have run, or may run twice; only where it finds time.
    pub(super) fn goes_on(
        &mut self,
        now: Timestamp,
        id: u64,
        wire: u64,
        how: Outcome,
        replied: bool,
    ) -> bool {
        self.now = now;
        let Some(req) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(at) = req.tries.iter().position(|t| t.wire == wire) else {
            return false;
        };
        let done = req.tries.swap_remove(at);
        let (handler, until) = (req.handler, req.until);
        let Some(leads) = self.backend_selector.clone() else {
            return false;
        };
        let end = end(how, replied);
        leads.over(&done.ticket, end);
        if how == Outcome::Completed {
            // Those that were out for longer were outrun.
            if let Some(req) = self.requests.get_mut(&id) {
                let later = |t: &BackendAttempt| t.since >= done.since;
                if req.tries.iter().all(later) {
                    self.drop_tries(id, AttemptOutcome::Cancelled);
                } else {
                    self.drop_tries(id, AttemptOutcome::LostToHedge);
                }
            }
            return false;
        }
        if self.requests.get(&id).is_some_and(|r| !r.tries.is_empty()) {
            return true;
        }
        let left = until.map_or(Duration::ZERO, |at| at - now);
        let may = end.never_executed() || self.replayable[handler];
        if !may || left <= leads.least(&done.ticket) || left == Duration::ZERO {
            return false;
        }
        match leads.again(&done.ticket, RetryKind::OtherBackend) {
            Some(ticket) => {
                self.attempt(id, ticket, left);
                true
            }
            None => false,
        }
    }

    /// A call that is out for longer than nearly all others has a second attempt beside it.
    pub(super) fn hedge(&mut self, now: Timestamp, id: u64) {
        self.now = now;
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.hedge = None;
        let (Some(leads), [only], Some(until)) =
            (self.backend_selector.clone(), &req.tries[..], req.until)
        else {
            return;
        };
        let left = until - now;
        if left > leads.least(&only.ticket)
            && let Some(ticket) = leads.again(&only.ticket, RetryKind::Hedge)
        {
            self.attempt(id, ticket, left);
        }
    }

    /// All attempts of a call that are out end here.
    pub(super) fn drop_tries(&mut self, id: u64, end: AttemptOutcome) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(at) = req.hedge.take() {
            self.due.remove(&(at, Deadline::Hedge(id)));
        }
        let tries = std::mem::take(&mut req.tries);
        for each in tries {
            self.calls.abandon_on(self.now, each.wire);
            if let Some(leads) = &self.backend_selector {
                leads.over(&each.ticket, end);
            }
        }
    }
}
