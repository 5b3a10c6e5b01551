//! Repeated pings to a member that has not answered a probe. They are sent in addition to the
//! indirect probes, because a lost datagram is more likely than a failed server.
//!
//! The module stores the probe that is being repeated. The caller passes in the time and sends the
//! pings.

use crate::identity::MemberIdentity;
use madderbay::time::{Duration, Timestamp};

/// Number of repeated pings for one probe, spread over the rest of its interval so that the last
/// one leaves time for its answer. With three datagrams in ten lost, all eleven pings fail for one
/// running member in two thousand, so that a large fleet disseminates few suspicions.
const MAX_PROBE_RETRIES: usize = 10;
/// Time between two repeated pings, as a fraction of the time from the probe's timeout to the end
/// of its interval.
const RETRY_FRACTION: f64 = 0.075;

/// A probe of a member.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: MemberIdentity,
    pub(crate) number: u8,
}

impl Probe {
    fn matches(&self, target: &MemberIdentity, number: u8) -> bool {
        self.target.name == target.name && self.number == number
    }
}

struct RepeatedProbe {
    probe: Probe,
    next_ping: Timestamp,
    remaining: usize,
}

/// Schedules the repeated pings of the latest probe that was not answered in time.
pub(crate) struct ProbeRetry {
    interval: Duration,
    current: Option<RepeatedProbe>,
}

impl ProbeRetry {
    /// `probe_interval` and `probe_timeout` are the values from the settings.
    pub(crate) fn new(probe_interval: Duration, probe_timeout: Duration) -> ProbeRetry {
        let remainder = probe_interval.saturating_sub(probe_timeout);
        ProbeRetry {
            interval: remainder.mul_f64(RETRY_FRACTION),
            current: None,
        }
    }

    /// Starts to repeat a probe that was not answered in time, unless that probe is already the
    /// current one.
    pub(crate) fn start(&mut self, now: Timestamp, probe: Probe) {
        if self
            .current
            .as_ref()
            .is_some_and(|c| c.probe.matches(&probe.target, probe.number))
        {
            return;
        }
        self.current = Some(RepeatedProbe {
            probe,
            next_ping: now,
            remaining: MAX_PROBE_RETRIES,
        });
    }

    /// Records that a member answered a probe, which ends the repetition of that probe.
    pub(crate) fn record_answer(&mut self, from: &MemberIdentity, number: u8) {
        if let Some(current) = self
            .current
            .as_mut()
            .filter(|c| c.probe.matches(from, number))
        {
            current.remaining = 0;
        }
    }

    /// Returns the probe to repeat now, if a ping is due, and schedules the next ping.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Option<Probe> {
        let current = self
            .current
            .as_mut()
            .filter(|c| c.remaining > 0 && c.next_ping <= now)?;
        current.remaining -= 1;
        current.next_ping = now + self.interval;
        Some(current.probe.clone())
    }

    /// Returns when the next ping is due.
    pub(crate) fn next_timeout(&self) -> Option<Timestamp> {
        self.current
            .as_ref()
            .filter(|c| c.remaining > 0)
            .map(|c| c.next_ping)
    }
}

#[cfg(test)]
mod tests;
