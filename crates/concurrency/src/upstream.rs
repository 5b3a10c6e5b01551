//! The limits on calls, one for each upstream.
//!
//! [`UpstreamLimits`] holds the limits, the handlers that each applies to, and the log of their
//! changes. It is given this server's quota of calls and the times of process stalls.
//! [`ceilings`](crate::ceilings) divides each limit among the pools.

use crate::config::{ConcurrencyConfig, UpstreamGroup};
use crate::limit::{AdaptiveLimit, Completion, LimitChange, LimitChanges, Permit};
use madderbay::interface::{CallRequirement, HandlerId};
use madderbay::time::Timestamp;

/// Lower bound on the maximum of a limit, in calls, whatever the quota. With a quota below this,
/// short calls may overlap; the decision module accounts for call time and keeps the mean number of
/// calls within the quota.
const MIN_CALL_LIMIT: f64 = 4.0;
/// Maximum number of limit changes that are kept until they are fetched for the log.
const MAX_PENDING_CHANGES: usize = 64;

/// The limit on the calls to one upstream, and the handlers that call it.
pub(crate) struct UpstreamLimit {
    handlers: Vec<HandlerId>,
    /// Fraction of this server's call quota that is the maximum of the limit, which is at least
    /// [`MIN_CALL_LIMIT`].
    quota_fraction: f64,
    limit: AdaptiveLimit,
}

impl UpstreamLimit {
    pub(crate) fn handlers(&self) -> &[HandlerId] {
        &self.handlers
    }

    pub(crate) fn applies_to(&self, handler: HandlerId) -> bool {
        self.handlers.contains(&handler)
    }

    pub(crate) fn limit(&self) -> &AdaptiveLimit {
        &self.limit
    }
}

/// All limits on calls; empty if calls need none.
pub(crate) struct UpstreamLimits {
    limits: Vec<UpstreamLimit>,
    adaptive: bool,
    process_stalled_at: Option<Timestamp>,
    pending_changes: Vec<LimitChange>,
    dropped_changes: u64,
    change_count: u64,
}

impl UpstreamLimits {
    pub(crate) fn new(
        now: Timestamp,
        seed: u64,
        config: &ConcurrencyConfig,
        call_requirements: &[CallRequirement],
    ) -> UpstreamLimits {
        let create_limit = |(index, group): (usize, UpstreamGroup)| {
            let quota = config.call_quota.unwrap_or(0.0);
            let max = (quota * group.quota_fraction).max(MIN_CALL_LIMIT);
            let seed = seed + index as u64;
            UpstreamLimit {
                handlers: group.handlers.clone(),
                quota_fraction: group.quota_fraction,
                limit: AdaptiveLimit::new(now, seed, max, config.abandoned_call_lifetime),
            }
        };
        let limits = match config.call_quota {
            Some(_) => {
                let groups = groups_with_default(config, call_requirements).into_iter();
                groups.enumerate().map(create_limit).collect()
            }
            None => vec![],
        };
        UpstreamLimits {
            limits,
            adaptive: config.adaptive,
            process_stalled_at: None,
            pending_changes: vec![],
            dropped_changes: 0,
            change_count: 0,
        }
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, UpstreamLimit> {
        self.limits.iter()
    }

    /// Sets this server's quota of concurrent calls; returns whether there is any limit that
    /// follows the quota.
    pub(crate) fn set_quota(&mut self, quota: f64) -> bool {
        for upstream in &mut self.limits {
            let max = (quota * upstream.quota_fraction).max(MIN_CALL_LIMIT);
            upstream.limit.set_max(max);
        }
        !self.limits.is_empty()
    }

    /// Returns the limit that applies to the calls of a handler.
    pub(crate) fn limit_of(&mut self, handler: HandlerId) -> Option<&mut AdaptiveLimit> {
        let upstream = self.limits.iter_mut().find(|u| u.applies_to(handler));
        upstream.map(|u| &mut u.limit)
    }

    /// Registers that this process was stalled until now.
    pub(crate) fn record_stall(&mut self, now: Timestamp) {
        self.process_stalled_at = Some(now);
    }

    /// Registers the end of a call of a handler.
    pub(crate) fn release(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        permit: Permit,
        completion: Completion,
    ) {
        let stalled_at = self.process_stalled_at;
        let stalled = stalled_at.is_some_and(|at| at >= permit.started_at());
        if let Some(limit) = self.limit_of(handler) {
            limit.release(now, permit, completion, stalled);
        }
    }

    /// Advances the time, and adjusts the limits if they are adaptive.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        for upstream in &mut self.limits {
            if !self.adaptive {
                upstream.limit.expire_abandoned_calls(now);
                continue;
            }
            let Some(change) = upstream.limit.tick(now) else {
                continue;
            };
            self.change_count += 1;
            if self.pending_changes.len() < MAX_PENDING_CHANGES {
                self.pending_changes.push(change);
            } else {
                self.dropped_changes += 1;
            }
        }
    }

    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Removes and returns the changes recorded since the previous call.
    pub(crate) fn take_changes(&mut self) -> LimitChanges {
        LimitChanges {
            changes: std::mem::take(&mut self.pending_changes),
            dropped: std::mem::take(&mut self.dropped_changes),
        }
    }
}

/// Returns the configured groups and one more, with the full quota, for the handlers in none of
/// them. The additional group is omitted if there are configured groups and none of its handlers
/// makes calls.
fn groups_with_default(
    config: &ConcurrencyConfig,
    call_requirements: &[CallRequirement],
) -> Vec<UpstreamGroup> {
    let mut groups = config.upstream_groups.clone();
    let is_grouped = |handler: &HandlerId| groups.iter().any(|g| g.handlers.contains(handler));
    let others: Vec<HandlerId> = HandlerId::first(call_requirements.len())
        .filter(|h| !is_grouped(h))
        .collect();
    let makes_calls =
        |handler: &HandlerId| call_requirements[handler.index()] != CallRequirement::Never;
    if groups.is_empty() || others.iter().any(makes_calls) {
        groups.push(UpstreamGroup {
            handlers: others,
            quota_fraction: 1.0,
        });
    }
    groups
}
