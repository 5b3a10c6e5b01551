//! Attempts of one keyed request: the first runs, the others wait for it and share its answer. The table of
//! idempotency keys owns the state.

use super::*;

const KEY_SLACK: Duration = Duration::from_millis(50); // A key outlasts its window, for the way here (ours).

impl Decider {
    /// Passes on the one attempt of a keyed request that may run.
    pub(super) fn dedup(
        &mut self,
        now: Timestamp,
        r: RequestSlot,
        out: &mut dyn Actions,
    ) -> ControlFlow<()> {
        let Request { id, retry_of, .. } = self.requests[r];
        if self.handlers[self.requests[r].handler.index()].retry_safety != RetrySafety::Keyed {
            return Continue(());
        }
        let key = self.keys.bind(id, retry_of);
        self.requests[r].key = Some(key);
        match self
            .keys
            .enter(key, r, |other| self.requests.get(other).is_some())
        {
            Role::Joiner => self.join(r, out),
            Role::Follower => self.requests.wait(r, Stage::Following),
            Role::Leader
                if self.memory_allows(self.keys.entry_kb(), memory_guard::QUEUE_FRACTION) =>
            {
                self.store_key(now, key, r, out);
                return Continue(());
            }
            // A run whose key cannot be stored must not start: its retry would pass for a new request.
            Role::Leader => self.reject(now, r, out),
        }
        Break(())
    }

    /// Stores an attempt's key until its window, counted from its arrival, has passed.
    fn store_key(&mut self, now: Timestamp, key: KeySlot, r: RequestSlot, out: &mut dyn Actions) {
        let until = self.requests[r].reached
            + self.handlers[self.requests[r].handler.index()].idempotency_window
            + KEY_SLACK;
        self.keys.store(key, until);
        self.timers.set(until, Timer::ExpireKey(key));
        out.store_key(self.requests[r].id, until - now);
    }

    /// Lets an attempt share the answer of the run; the wire joins it to the attempt that it names.
    pub(super) fn join(&mut self, r: RequestSlot, out: &mut dyn Actions) {
        self.requests.wait(r, Stage::Joined);
        if self.requests[r].retry_of == 0 {
            return self.fail(r, out);
        }
        out.join_attempt(self.requests[r].id);
    }

    /// Removes a request that never started; those that wait for its run take its place or are rejected.
    pub(super) fn withdraw(
        &mut self,
        now: Timestamp,
        r: RequestSlot,
        rejected: bool,
        out: &mut dyn Actions,
    ) {
        self.queue.remove(r);
        let Request { id, key, .. } = self.requests[r];
        self.requests.remove(r);
        let Some((key, followers)) = key.and_then(|key| Some((key, self.keys.withdraw(key, r)?)))
        else {
            return;
        };
        if !rejected && let Some(next) = self.keys.promote(key, &followers) {
            self.requests.wait(next, Stage::Queued);
            self.store_key(now, key, next, out);
            return self.pass(now, next, &ARRIVAL_STAGES[1..], out);
        }
        if self.keys.remove(key) {
            out.remove_key(id);
        }
        for follower in followers {
            self.requests[follower].key = None;
            self.reject(now, follower, out);
        }
    }
}
