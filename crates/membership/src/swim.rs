//! Adapter to foca, the SWIM implementation: its configuration, its random numbers and the effects
//! that it requests.
//!
//! This module makes no decisions and sends nothing.

use crate::datagram_size::MAX_BODY_BYTES;
use crate::identity::MemberIdentity;
use crate::settings::Settings;
use foca::{
    Config, Foca, NoCustomBroadcast, Notification, OwnedNotification, PeriodicParams,
    PostcardCodec, Runtime, Timer,
};
use madderbay::time::Duration;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration as StdDuration;

/// Number of members that are asked to probe a member that does not answer. With one datagram in
/// ten lost, three probes in ten thousand lead to the suspicion of a running member.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(6).unwrap();
/// Interval between rounds of gossip. With this interval and [`GOSSIP_FANOUT`], updates reach a
/// thousand servers within half a second.
const GOSSIP_INTERVAL: StdDuration = StdDuration::from_millis(100);
/// Number of members that each round of gossip addresses.
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Number of transmissions of an update by each member, in addition to the natural logarithm of the
/// fleet's size. With a third of the datagrams lost, one server in a thousand misses an update that
/// a thousand servers transmit.
const EXTRA_TRANSMISSIONS: f64 = 10.0;

/// Random number generator for foca, seeded by the caller.
pub(crate) struct SwimRng(oorandom::Rand64);

impl SwimRng {
    pub(crate) fn new(seed: u64) -> SwimRng {
        SwimRng(oorandom::Rand64::new(u128::from(seed)))
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn float(&mut self) -> f64 {
        self.0.rand_float()
    }
}

impl rand_core::TryRng for SwimRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok((self.0.rand_u64() >> 32) as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, buffer: &mut [u8]) -> Result<(), Infallible> {
        for chunk in buffer.chunks_mut(8) {
            chunk.copy_from_slice(&self.0.rand_u64().to_le_bytes()[..chunk.len()]);
        }
        Ok(())
    }
}

/// A SWIM message that foca requests to send.
pub(crate) struct OutgoingMessage {
    pub(crate) to: MemberIdentity,
    pub(crate) body: Vec<u8>,
}

/// A timer that foca requests to set.
pub(crate) struct RequestedTimer {
    pub(crate) after: Duration,
    pub(crate) timer: Timer<MemberIdentity>,
}

/// Effects that one call of foca requests; each kind is in the order of the requests.
#[derive(Default)]
pub(crate) struct SwimEffects {
    pub(crate) messages: Vec<OutgoingMessage>,
    pub(crate) timers: Vec<RequestedTimer>,
    pub(crate) notifications: Vec<OwnedNotification<MemberIdentity>>,
}

impl Runtime<MemberIdentity> for SwimEffects {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.messages.push(OutgoingMessage {
            to,
            body: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<MemberIdentity>, after: StdDuration) {
        let after = Duration::from_micros(after.as_micros() as u64);
        self.timers.push(RequestedTimer { after, timer });
    }
}

/// The SWIM state machine, configured for this crate.
pub(crate) type Swim = Foca<MemberIdentity, PostcardCodec, SwimRng, NoCustomBroadcast>;

/// Creates a SWIM state machine without members.
pub(crate) fn new_swim(identity: MemberIdentity, settings: &Settings, seed: u64) -> Swim {
    Swim::new(
        identity,
        config(settings, 0),
        SwimRng::new(seed),
        PostcardCodec,
    )
}

/// Returns how often each member transmits an update, given the number of other active members.
pub(crate) fn max_transmissions(active: usize) -> NonZeroU8 {
    let transmissions = ((active + 1) as f64).ln() + EXTRA_TRANSMISSIONS;
    NonZeroU8::new(transmissions.ceil().min(255.0) as u8).unwrap_or(NonZeroU8::MIN)
}

/// Returns foca's configuration, given the number of other active members.
pub(crate) fn config(settings: &Settings, active: usize) -> Config {
    let std_duration = |d: Duration| StdDuration::from_micros(d.as_micros());
    Config {
        probe_period: std_duration(settings.probe_interval),
        probe_rtt: std_duration(settings.probe_timeout),
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: max_transmissions(active),
        suspect_to_down_after: std_duration(settings.suspicion_timeout),
        remove_down_after: Some(std_duration(settings.down_retention)),
        max_packet_size: NonZeroUsize::new(MAX_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
        // Members that are down are informed by notices, which also tell who declared them down.
        notify_down_members: false,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: GOSSIP_INTERVAL,
            num_members: GOSSIP_FANOUT,
        }),
    }
}
