//! What comes: who is heard, and what of it is believed.

use super::*;

impl Membership {
    /// Former name of [`Membership::handle_datagram`], until its last caller uses the new one.
    #[doc(hidden)]
    pub fn received(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.handle_datagram(now, from, bytes);
    }

    /// A datagram came from somewhere.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let now = self.begin(now);
        self.counters.received += 1;
        self.counters.bytes_in += bytes.len() as u64;
        let heard = if self.set.allowed_networks.contains(from.ip()) {
            datagram::decode(bytes, self.fleet).and_then(|(head, body)| self.hear(now, head, body))
        } else {
            Err(DatagramError::NetworkNotAllowed)
        };
        if let Err(why) = heard {
            self.stranger(why);
        }
        self.step_phase(now);
        self.judge(now);
    }

    pub(super) fn stranger(&mut self, why: DatagramError) {
        self.counters.rejected.increment(why);
    }

    pub(super) fn hear(
        &mut self,
        now: Timestamp,
        head: Header,
        body: &[u8],
    ) -> Result<(), DatagramError> {
        if self.local_identity().phase == Phase::Left {
            return Ok(());
        }
        let from = match head.kind {
            DatagramKind::Swim => self.hear_swim(now, head, body)?,
            DatagramKind::Notice => {
                let notice: Notice = decode_body(body)?;
                self.noticed(now, &notice)?;
                notice.from
            }
            DatagramKind::RosterRequest => {
                let ask: RosterRequest = decode_body(body)?;
                if ask.buckets.len() != PARTS {
                    return Err(DatagramError::InvalidBody);
                }
                self.meets(now, &ask.from)?;
                self.send_page(&ask);
                ask.from
            }
            DatagramKind::RosterPage => {
                let page: RosterPage = decode_body(body)?;
                let from = page.from.clone();
                self.meets(now, &from)?;
                self.read_page(now, page);
                from
            }
            DatagramKind::SubsystemMessage => {
                let SubsystemMessage {
                    from,
                    subsystem: part,
                    payload: words,
                } = decode_body(body)?;
                self.meets(now, &from)?;
                let known = |r: &&Row| r.active() && r.id.incarnation == from.incarnation;
                if self.rows.get(&from.name).filter(known).is_none() {
                    return Err(DatagramError::FormerIncarnation);
                }
                if self.beside.len() >= BESIDE_MOST {
                    self.counters.dropped_events += 1;
                } else {
                    self.beside.push((from.name.clone(), part, words.to_vec()));
                }
                from
            }
        };
        let Some(row) = self
            .rows
            .get_mut(&from.name)
            .filter(|r| r.active() && r.id == from)
        else {
            return Ok(());
        };
        row.heard = Some(now);
        row.held_up = head.health_score;
        self.last_heard = Some(now);
        let suspect = (row.held == Held::Suspect).then_some(row.incarnation);
        if let Some(incarnation) = suspect {
            // It speaks, so it can refute what is said of it.
            self.notice(
                now,
                from.address,
                Member::new(from.clone(), incarnation, Told::Suspect),
            );
        }
        if head.digest == self.marks.all {
            self.roster.set_complete();
        } else if from.phase != Phase::Left {
            let draw = self.rng.float();
            // What is not passed on any more comes by rosters alone: none waits for the view to
            // settle then.
            let crowded = self.swim.updates_backlog() > RUMOURS;
            let changed = if crowded {
                Timestamp::default()
            } else {
                self.changed
            };
            if let Some(after) = self.roster.digest_differs(now, &from, changed, draw) {
                self.counters.roster_requests += 1;
                self.ask(&from, after);
            }
        }
        Ok(())
    }

    /// Who a datagram says that it is from: whether it is to be heard at all.
    pub(super) fn meets(
        &mut self,
        now: Timestamp,
        from: &MemberIdentity,
    ) -> Result<(), DatagramError> {
        if !from.is_valid() {
            return Err(DatagramError::InvalidBody);
        }
        if !self.set.allowed_networks.contains(from.address.ip()) {
            return Err(DatagramError::NetworkNotAllowed);
        }
        if from.name == self.set.name {
            self.claimed(now, from, false, true);
            if self.aside.is_none() && from.address != self.set.advertise {
                // Whoever has the older claim gives way once it knows.
                self.notice(
                    now,
                    from.address,
                    Member::alive(self.local_identity().clone()),
                );
            }
            return Err(DatagramError::FormerIncarnation);
        }
        match self.rows.get(&from.name) {
            None if self.rows.len() >= self.set.max_members => Err(DatagramError::TableFull),
            None => Ok(()),
            Some(row) => {
                let older = (from.version(), from.address) < (row.id.version(), row.id.address);
                let down = !row.active() && row.id == *from;
                if !older && !down {
                    return Ok(());
                }
                if from.phase != Phase::Left {
                    let held = if row.active() {
                        Told::Alive
                    } else {
                        Told::Down
                    };
                    let held = Member::new(row.id.clone(), row.incarnation, held);
                    self.notice(now, from.address, held);
                }
                Err(DatagramError::FormerIncarnation)
            }
        }
    }

    pub(super) fn hear_swim(
        &mut self,
        now: Timestamp,
        head: Header,
        body: &[u8],
    ) -> Result<MemberIdentity, DatagramError> {
        let mut packet = SwimPacket::decode(body)?;
        let from = packet.header.src.clone();
        let own = self.local_identity().clone();
        let to = &packet.header.dst;
        let announced = packet.header.message == Message::Announce;
        if !(to.name == own.name || to.name.is_empty() && announced) {
            return Err(DatagramError::Misdirected);
        }
        if self.aside.is_some() {
            // Only who takes this server's own word for its name is heard.
            if *to != own || packet.header.message != Message::Feed || from.name == own.name {
                return Err(DatagramError::Misdirected);
            }
            self.aside = None;
            self.change(MembershipEvent::Regained);
        }
        packet.header.dst = own;
        if let Message::PingReq { target: other, .. }
        | Message::IndirectPing { origin: other, .. }
        | Message::IndirectAck { target: other, .. }
        | Message::ForwardedAck { origin: other, .. } = &packet.header.message
            && !(other.is_valid() && self.set.allowed_networks.contains(other.address.ip()))
        {
            return Err(DatagramError::NetworkNotAllowed);
        }
        self.meets(now, &from)?;
        let held_up = head.health_score > 0;
        let members = std::mem::take(&mut packet.updates);
        packet.updates = members
            .into_iter()
            .filter_map(|m| self.weigh(now, m, held_up))
            .collect();
        if from.phase == Phase::Left {
            packet.updates.push(Member::down(from.clone()));
        }
        let words: Vec<(MemberIdentity, u16, Told)> = packet
            .updates
            .iter()
            .map(|m| (m.id().clone(), m.incarnation(), m.state()))
            .collect();
        let incarnation = packet.header.src_incarnation;
        if self.swim.updates_backlog() > RUMOURS {
            let news = std::mem::take(&mut packet.updates);
            self.with_swim(now, |swim, wants| {
                swim.apply_many(news.into_iter(), false, wants)
            });
        }
        if let Message::Ack(number) = packet.header.message {
            self.answered(&from, number);
        }
        let bytes = packet.encode();
        self.with_swim(now, |swim, wants| swim.handle_data(&bytes, wants));
        self.word(now, &from, incarnation, Told::Alive);
        for (id, incarnation, told) in words {
            self.word(now, &id, incarnation, told);
        }
        Ok(from)
    }

    /// What another says of a third: as it may be believed, or nothing.
    pub(super) fn weigh(
        &mut self,
        now: Timestamp,
        m: Member<MemberIdentity>,
        held_up: bool,
    ) -> Option<Member<MemberIdentity>> {
        let id = m.id();
        if !id.is_valid() || !self.set.allowed_networks.contains(id.address.ip()) {
            self.stranger(DatagramError::NetworkNotAllowed);
            return None;
        }
        if id.name == self.set.name {
            if id == self.local_identity() && m.state() == Told::Suspect {
                return Some(m);
            }
            self.claimed(now, &id.clone(), m.state() == Told::Down, false);
            return None;
        }
        let accuses = m.state() != Told::Alive && id.phase != Phase::Left;
        if accuses && held_up {
            return None;
        }
        let suspect = |id: &MemberIdentity, incarnation| {
            Some(Member::new(id.clone(), incarnation, Told::Suspect))
        };
        let Some(row) = self.rows.get(&id.name) else {
            if m.state() == Told::Down {
                return None;
            }
            if self.rows.len() >= self.set.max_members {
                self.stranger(DatagramError::TableFull);
                return None;
            }
            return Some(m);
        };
        let (version, known) = (
            (id.version(), id.address),
            (row.id.version(), row.id.address),
        );
        // Nobody is down by hearsay: each server lets its own suspicion run out, so that no wrong
        // word becomes everyone's; who leaves says so itself.
        match (version.cmp(&known), row.active(), m.state()) {
            (std::cmp::Ordering::Less, ..) => None,
            (std::cmp::Ordering::Greater, true, Told::Down) if accuses => {
                suspect(id, m.incarnation())
            }
            (std::cmp::Ordering::Greater, ..) => Some(m),
            (_, true, Told::Down) if accuses => {
                let incarnation = row.incarnation;
                if row.held == Held::Suspect {
                    None
                } else {
                    suspect(id, incarnation)
                }
            }
            (_, false, Told::Alive | Told::Suspect) => {
                // Others have it in: if it lives it is to know that this server holds it down.
                let held = Member::new(id.clone(), row.incarnation, Told::Down);
                let to = id.address;
                if row.id.phase != Phase::Left {
                    self.notice(now, to, held);
                }
                None
            }
            (_, false, Told::Down) => None,
            // What is known costs nothing more: most of what rumours say was said before.
            (std::cmp::Ordering::Equal, true, Told::Alive) => {
                (m.incarnation() > row.incarnation).then_some(m)
            }
            (std::cmp::Ordering::Equal, true, Told::Suspect) => {
                let newer = match row.held {
                    Held::Suspect => m.incarnation() > row.incarnation,
                    _ => m.incarnation() >= row.incarnation,
                };
                newer.then_some(m)
            }
            _ => Some(m),
        }
    }

    /// What was believed of somebody, where it begins or ends a suspicion. Foca lets only those who
    /// tried a member themselves wait for its refutation; here each who hears of it waits on its
    /// own clock.
    pub(super) fn word(
        &mut self,
        now: Timestamp,
        id: &MemberIdentity,
        incarnation: u16,
        told: Told,
    ) {
        let Some(row) = self
            .rows
            .get_mut(&id.name)
            .filter(|r| r.id == *id && r.active())
        else {
            return;
        };
        let newer = incarnation > row.incarnation;
        match (told, row.held) {
            (Told::Suspect, Held::In) if incarnation >= row.incarnation => {
                self.suspected(now, id, incarnation);
                let (member_id, token) = (id.clone(), 0);
                let timer = Timer::ChangeSuspectToDown {
                    member_id,
                    incarnation,
                    token,
                };
                self.set_timer(now + self.set.suspicion_timeout, timer);
            }
            (Told::Alive, Held::Suspect) if newer => {
                (row.held, row.since, row.incarnation) = (Held::In, now, incarnation);
                let (address, to) = (row.id.address, row.state());
                self.counters.refutations += 1;
                self.report_change(
                    &id.name,
                    address,
                    Some(MemberState::Suspect),
                    to,
                    Why::Refuted,
                );
            }
            _ => row.incarnation = row.incarnation.max(incarnation),
        }
    }

    /// What another holds under this server's name.
    pub(super) fn noticed(&mut self, now: Timestamp, notice: &Notice) -> Result<(), DatagramError> {
        let held = &notice.member;
        if *held.id() == notice.from && held.state() == Told::Alive {
            // Asked whether it lives, it does.
            self.meets(now, &notice.from)?;
            let word = std::iter::once(held.clone());
            self.with_swim(now, |swim, wants| swim.apply_many(word, true, wants));
            self.word(now, &notice.from, held.incarnation(), Told::Alive);
            return Ok(());
        }
        if !notice.from.is_valid() || !held.id().is_valid() {
            return Err(DatagramError::InvalidBody);
        }
        if !self.set.allowed_networks.contains(notice.from.address.ip()) {
            return Err(DatagramError::NetworkNotAllowed);
        }
        if held.id().name != self.set.name {
            return Err(DatagramError::Misdirected);
        }
        if held.id() == self.local_identity() && held.state() == Told::Suspect {
            let held = held.clone();
            self.with_swim(now, |swim, wants| {
                swim.apply_many(std::iter::once(held), false, wants)
            });
            self.lives(notice);
            return Ok(());
        }
        let before = self.local_identity().version();
        self.claimed(
            now,
            held.id(),
            held.state() == Told::Down,
            *held.id() == notice.from,
        );
        if notice.from.name == self.set.name {
            return Ok(());
        }
        if self.local_identity().version() != before {
            // Said at once to who held it down.
            self.announce(now, notice.from.address);
        } else if held.state() != Told::Alive && self.aside.is_none() {
            // Asked about a turn that is over: whoever asks has not heard of this one.
            self.lives(notice);
        }
        Ok(())
    }

    /// Answers who asks whether it lives: one answer a question.
    fn lives(&mut self, asked: &Notice) {
        let word = Member::new(self.local_identity().clone(), self.incarnation, Told::Alive);
        self.send_notice(asked.from.address, word);
    }
}
