//! Whom to speak to that the view does not hold: the addresses of the operator file and those who went down.
//! A cut that outlasts every memory of the dead heals by it, since some address of the other side is tried.

use madderbay::time::{Duration, Timestamp};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Between two tries while anything is amiss, and while all is well; each is drawn from half to once and a
/// half of it, so that servers that lost each other at one moment don't try at one.
const AMISS: Duration = Duration::from_millis(500);
const WELL: Duration = Duration::from_millis(5_000);
/// How long after a loss tries are made often: beyond that one is made in ten times as long.
const FRESH: Duration = Duration::from_millis(120_000);
/// Addresses of the dead that outlast the view's memory of them, the latest, and for how long.
const OLD_MOST: usize = 64;
const OLD_FOR: Duration = Duration::from_millis(3_600_000);

pub struct Mend {
    join: Vec<SocketAddr>,
    /// Forgotten by the view, the earliest first.
    old: VecDeque<(Timestamp, SocketAddr)>,
    next: Timestamp,
    /// The latest loss.
    lost: Timestamp,
}

impl Mend {
    /// `own` is not tried, even where the operator names it.
    pub fn new(now: Timestamp, join: &[SocketAddr], own: SocketAddr) -> Mend {
        let join: Vec<SocketAddr> = join.iter().copied().filter(|a| *a != own).collect();
        Mend {
            join,
            old: VecDeque::new(),
            next: now,
            lost: now,
        }
    }

    pub fn expects_others(&self) -> bool {
        !self.join.is_empty()
    }

    /// Somebody went down: tries are made often for a while.
    pub fn lost(&mut self, now: Timestamp) {
        self.lost = now;
        self.next = self.next.min(now + AMISS);
    }

    /// The view has forgotten somebody who was down.
    pub fn forgotten(&mut self, now: Timestamp, address: SocketAddr) {
        self.old.retain(|o| o.1 != address);
        self.old.push_back((now, address));
        if self.old.len() > OLD_MOST {
            self.old.pop_front();
        }
    }

    pub fn due(&self) -> Timestamp {
        self.next
    }

    /// The one to try now, if the time has come and there is any. `is_in` tells of an address that somebody
    /// in the view has it, `down` has those that the view holds down, `draw` is chance from 0 to 1.
    pub fn pick(
        &mut self,
        now: Timestamp,
        alone: bool,
        is_in: impl Fn(SocketAddr) -> bool,
        down: &[SocketAddr],
        mut draw: impl FnMut() -> f64,
    ) -> Option<SocketAddr> {
        if now < self.next {
            return None;
        }
        while self.old.front().is_some_and(|o| now - o.0 > OLD_FOR) {
            self.old.pop_front();
        }
        self.old.retain(|o| !is_in(o.1));
        let old = self.old.iter().map(|o| o.1);
        let some: Vec<SocketAddr> = self
            .join
            .iter()
            .copied()
            .filter(|a| !is_in(*a))
            .chain(down.iter().copied())
            .chain(old)
            .collect();
        let amiss = alone || (!some.is_empty() && now - self.lost < FRESH);
        self.next = now + if amiss { AMISS } else { WELL }.mul_f64(0.5 + draw());
        let at = (draw() * some.len() as f64) as usize;
        some.get(at).copied()
    }
}

#[cfg(test)]
mod tests;
