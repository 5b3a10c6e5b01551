//! SWIM as foca plays it: what goes into it and what comes out, with its chance and its timers. Nothing is
//! decided here.

use crate::identity::MemberIdentity;
use crate::wire::Stranger;
use foca::{
    Codec, Config, Foca, Header, Member, Message, NoCustomBroadcast, Notification,
    OwnedNotification, PeriodicParams, PostcardCodec, Runtime, Timer,
};
use madderbay::time::Duration;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration as StdDuration;

/// Others asked to try a member that does not answer: six, so that with one datagram in ten lost three probes in
/// ten thousand accuse the living.
const ASKED: NonZeroUsize = NonZeroUsize::new(6).unwrap();
/// How often news is passed on, and to how many: a thousand servers have it in half a second.
const GOSSIP_EVERY: StdDuration = StdDuration::from_millis(100);
const GOSSIP_TO: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Times that news is passed on by each, beyond the natural logarithm of the fleet: where a third of what is
/// said is lost, one server in a thousand misses what a thousand pass on.
const TOLD_MORE: f64 = 10.0;

/// The chance that foca draws from.
pub struct Chance(oorandom::Rand64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(oorandom::Rand64::new(u128::from(seed)))
    }

    pub fn float(&mut self) -> f64 {
        self.0.rand_float()
    }
}

impl rand_core::TryRng for Chance {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok((self.0.rand_u64() >> 32) as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, to: &mut [u8]) -> Result<(), Infallible> {
        for piece in to.chunks_mut(8) {
            piece.copy_from_slice(&self.0.rand_u64().to_le_bytes()[..piece.len()]);
        }
        Ok(())
    }
}

/// What foca wants done.
#[derive(Default)]
pub struct Wants {
    pub sends: Vec<(MemberIdentity, Vec<u8>)>,
    pub timers: Vec<(Duration, Timer<MemberIdentity>)>,
    pub told: Vec<OwnedNotification<MemberIdentity>>,
}

impl Runtime<MemberIdentity> for Wants {
    fn notify(&mut self, what: Notification<'_, MemberIdentity>) {
        self.told.push(what.to_owned());
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberIdentity>, after: StdDuration) {
        self.timers
            .push((Duration::from_micros(after.as_micros() as u64), event));
    }
}

pub type Swim = Foca<MemberIdentity, PostcardCodec, Chance, NoCustomBroadcast>;

/// How foca is set for a fleet of that size.
pub fn config(
    members: usize,
    probe: Duration,
    answer: Duration,
    suspicion: Duration,
    memory: Duration,
    most: usize,
) -> Config {
    let lasts = |s: Duration| StdDuration::from_micros(s.as_micros());
    let told = (((members + 1) as f64).ln() + TOLD_MORE).ceil().min(255.0) as u8;
    Config {
        probe_period: lasts(probe),
        probe_rtt: lasts(answer),
        num_indirect_probes: ASKED,
        max_transmissions: NonZeroU8::new(told).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: lasts(suspicion),
        remove_down_after: Some(lasts(memory)),
        max_packet_size: NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN),
        // Who is held down is told so by a notice that says by whom and as what.
        notify_down_members: false,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams {
            frequency: GOSSIP_EVERY,
            num_members: GOSSIP_TO,
        }),
    }
}

/// A SWIM datagram's body, taken apart.
pub struct Packet {
    pub header: Header<MemberIdentity>,
    pub members: Vec<Member<MemberIdentity>>,
}

pub fn read(mut bytes: &[u8]) -> Result<Packet, Stranger> {
    let bad = |_| Stranger::Body;
    let header = PostcardCodec.decode_header(&mut bytes).map_err(bad)?;
    let mut members = vec![];
    if let Some((count, rest)) = bytes.split_first_chunk::<2>() {
        bytes = rest;
        for _ in 0..u16::from_be_bytes(*count) {
            members.push(PostcardCodec.decode_member(&mut bytes).map_err(bad)?);
        }
    }
    if bytes.is_empty() {
        Ok(Packet { header, members })
    } else {
        Err(Stranger::Body)
    }
}

/// The same put together again.
pub fn write(packet: &Packet) -> Vec<u8> {
    let mut bytes = vec![];
    // Nothing can fail in writing to memory.
    let _ = PostcardCodec.encode_header(&packet.header, &mut bytes);
    if !packet.members.is_empty() {
        bytes.extend((packet.members.len() as u16).to_be_bytes());
        for member in &packet.members {
            let _ = PostcardCodec.encode_member(member, &mut bytes);
        }
    }
    bytes
}

/// Only the head of a body: who says what to whom.
pub fn header(mut body: &[u8]) -> Option<Header<MemberIdentity>> {
    PostcardCodec.decode_header(&mut body).ok()
}

/// The same probe from this server once more.
pub fn ping(src: MemberIdentity, src_incarnation: u16, dst: MemberIdentity, number: u8) -> Vec<u8> {
    let header = Header {
        src,
        src_incarnation,
        dst,
        message: Message::Ping(number),
    };
    write(&Packet {
        header,
        members: vec![],
    })
}
