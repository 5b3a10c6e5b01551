//! What goes out, and what foca tells of the view on the way.

use super::*;

impl Membership {
    pub(super) fn with_swim(
        &mut self,
        now: Timestamp,
        act: impl FnOnce(&mut Swim, &mut SwimEffects) -> Result<(), foca::Error>,
    ) {
        let mut wants = SwimEffects::default();
        // What it does not take is of no use here: what can come in was read before.
        let _ = act(&mut self.swim, &mut wants);
        for told in wants.notifications {
            self.told(now, told);
        }
        for swim::RequestedTimer { after, timer } in wants.timers {
            if let Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } = &timer
            {
                self.suspected(now, member_id, *incarnation);
            }
            self.set_timer(now + after, timer);
        }
        for swim::OutgoingMessage { to, body } in wants.messages {
            if let Ok(header) = swim::decode_header(&body) {
                self.incarnation = header.src_incarnation;
                if let Message::PingReq {
                    target,
                    probe_number,
                } = header.message
                {
                    self.tries(now, target, probe_number);
                }
            }
            self.send(to.address, DatagramKind::Swim, &body);
        }
    }

    /// A member that has not answered is tried again by this server, beside those it asks: a
    /// datagram is more often lost than a server.
    fn tries(&mut self, now: Timestamp, target: MemberIdentity, number: u8) {
        let known = |t: &Tried| t.target.name == target.name && t.number == number;
        if !self.tried.as_ref().is_some_and(known) {
            self.tried = Some(Tried {
                target,
                number,
                next: now,
                left: TRIES,
            });
        }
    }

    pub(super) fn try_again(&mut self, now: Timestamp) {
        let Some(tried) = self.tried.as_mut().filter(|t| t.left > 0 && t.next <= now) else {
            return;
        };
        tried.left -= 1;
        tried.next = now
            + Duration::from_micros(
                self.set.probe_interval.as_micros() - self.set.probe_timeout.as_micros(),
            )
            .mul_f64(TRY_PART);
        let (target, number) = (tried.target.clone(), tried.number);
        let to = target.address;
        let body = swim::encode_ping(
            self.local_identity().clone(),
            self.incarnation,
            target,
            number,
        );
        self.send(to, DatagramKind::Swim, &body);
    }

    /// Who answered a probe is not tried again.
    pub(super) fn answered(&mut self, from: &MemberIdentity, number: u8) {
        let of = |t: &&mut Tried| t.target.name == from.name && t.number == number;
        if let Some(tried) = self.tried.as_mut().filter(of) {
            tried.left = 0;
        }
    }

    pub(super) fn told(&mut self, now: Timestamp, told: OwnedNotification<MemberIdentity>) {
        match told {
            OwnedNotification::MemberUp(id) => self.up(now, id),
            OwnedNotification::MemberDown(id) => {
                let Some(row) = self.rows.get(&id.name) else {
                    return;
                };
                let (before, heard) = (row.state(), row.heard.map(|at| now - at));
                self.edit(&id.name, |rows, name| {
                    if let Some(row) = rows.get_mut(name) {
                        (row.held, row.since, row.id) = (Held::Down, now, id.clone());
                    }
                });
                self.changed = now;
                if id.phase == Phase::Left {
                    return self.report_change(
                        &id.name,
                        id.address,
                        Some(before),
                        MemberState::Left,
                        Why::Said,
                    );
                }
                self.counters.down_declarations += 1;
                self.reconnector.record_loss(now);
                let why = Why::Unrefuted { heard };
                self.report_change(&id.name, id.address, Some(before), MemberState::Down, why);
            }
            OwnedNotification::Rename(old, new) => {
                let Some(row) = self.rows.get(&old.name) else {
                    return;
                };
                let (before, active) = (row.state(), row.active());
                self.edit(&new.name, |rows, name| {
                    if let Some(row) = rows.get_mut(name) {
                        (row.incarnation, row.heard) = (
                            0,
                            row.heard.filter(|_| row.id.incarnation == new.incarnation),
                        );
                        row.id = new.clone();
                        if row.held == Held::Suspect {
                            row.held = Held::In;
                        }
                    }
                });
                self.changed = now;
                let to = self
                    .rows
                    .get(&new.name)
                    .map_or(MemberState::Alive, Row::state);
                if new.incarnation != old.incarnation {
                    let why = Why::NewLife {
                        from: old.incarnation,
                        to: new.incarnation,
                    };
                    self.report_change(&new.name, new.address, Some(before), to, why);
                } else if active && before != to {
                    self.report_change(&new.name, new.address, Some(before), to, Why::Said);
                }
            }
            // Held down by a rumour that foca has answered with another turn.
            OwnedNotification::Rejoin(id) => {
                self.counters.identity_renewals += 1;
                self.change(MembershipEvent::Renewed { turn: id.revision });
            }
            OwnedNotification::Active => self.met = self.met.or(Some(now)),
            _ => {}
        }
    }

    pub(super) fn up(&mut self, now: Timestamp, id: MemberIdentity) {
        let before = self.rows.get(&id.name).map(Row::state);
        self.edit(&id.name, |rows, name| {
            let row = rows.entry(name.clone()).or_insert_with(|| Row {
                id: id.clone(),
                incarnation: 0,
                held: Held::In,
                since: now,
                heard: None,
                held_up: 0,
            });
            (row.id, row.held, row.since) = (id.clone(), Held::In, now);
        });
        self.changed = now;
        let to = self
            .rows
            .get(&id.name)
            .map_or(MemberState::Alive, Row::state);
        let why = if before.is_some() {
            Why::Lives
        } else {
            Why::Met
        };
        if before != Some(to) {
            self.report_change(&id.name, id.address, before, to, why);
        }
        self.set_swim();
    }

    /// News is told the more often the larger the fleet.
    pub(super) fn set_swim(&mut self) {
        let config = swim::config(&self.set, self.active);
        let told_to = config.max_transmissions.get();
        if std::mem::replace(&mut self.told_to, told_to) != told_to {
            let _ = self.swim.set_config(config);
        }
    }

    pub(super) fn suspected(&mut self, now: Timestamp, id: &MemberIdentity, incarnation: u16) {
        let Some(row) = self
            .rows
            .get_mut(&id.name)
            .filter(|r| r.id == *id && r.active())
        else {
            return;
        };
        let before = row.state();
        (row.held, row.since, row.incarnation) = (Held::Suspect, now, incarnation);
        let heard = row.heard.map(|at| now - at);
        self.counters.suspicions += 1;
        for part in LAST_CALLS {
            self.numbered += 1;
            self.last_calls.insert(
                (
                    now + self.set.suspicion_timeout.mul_f64(part),
                    self.numbered,
                ),
                id.name.clone(),
            );
        }
        if before != MemberState::Suspect {
            let why = Why::Unanswered { heard };
            self.report_change(
                &id.name,
                id.address,
                Some(before),
                MemberState::Suspect,
                why,
            );
        }
    }

    /// Changes a row, and all that is summed up over them with it.
    pub(super) fn edit(
        &mut self,
        name: &CompactString,
        act: impl FnOnce(&mut BTreeMap<CompactString, Row>, &CompactString),
    ) {
        let weight = |row: Option<&Row>| {
            let missing = row.is_some_and(|r| r.state() == MemberState::Down);
            let active = row.is_some_and(Row::active);
            (
                usize::from(active),
                usize::from(missing),
                row.map_or(0, Row::mark),
            )
        };
        let before = weight(self.rows.get(name));
        act(&mut self.rows, name);
        let after = weight(self.rows.get(name));
        if self.touched.len() < self.set.max_members + self.rows.len()
            && (before != after || after.2 == 0)
        {
            self.touched.insert(name.clone());
        }
        self.active = self.active + after.0 - before.0;
        self.missing = self.missing + after.1 - before.1;
        self.marks.flip(name, before.2 ^ after.2);
    }

    pub(super) fn change(&mut self, what: MembershipEvent) {
        if self.changes.len() < CHANGES_MOST {
            self.changes.push(what);
        } else {
            self.counters.dropped_events += 1;
        }
    }

    pub(super) fn report_change(
        &mut self,
        name: &CompactString,
        address: SocketAddr,
        from: Option<MemberState>,
        to: MemberState,
        why: Why,
    ) {
        self.change(MembershipEvent::StateChanged {
            name: name.clone(),
            address,
            from,
            to,
            why,
        });
    }

    pub(super) fn send(&mut self, to: SocketAddr, kind: DatagramKind, body: &[u8]) {
        if to == self.set.advertise || !self.set.allowed_networks.contains(to.ip()) {
            return;
        }
        let head = Header {
            kind,
            digest: self.marks.all,
            health_score: self.health.score(),
        };
        let bytes = datagram::encode(head, self.fleet, body);
        self.counters.sent += 1;
        self.counters.bytes_out += bytes.len() as u64;
        self.out.push((to, bytes));
    }

    pub(super) fn notice(&mut self, now: Timestamp, to: SocketAddr, held: Member<MemberIdentity>) {
        if now - self.notices.0 >= NOTICES_IN {
            self.notices = (now, 0);
        }
        self.notices.1 += 1;
        if self.notices.1 > NOTICES {
            return;
        }
        self.send_notice(to, held);
    }

    pub(super) fn send_notice(&mut self, to: SocketAddr, held: Member<MemberIdentity>) {
        self.counters.notices += 1;
        if let Ok(body) = encode_body(&Notice {
            from: self.local_identity().clone(),
            member: held,
        }) {
            self.send(to, DatagramKind::Notice, &body);
        }
    }

    pub(super) fn ask(&mut self, from: &MemberIdentity, after: CompactString) {
        if let Ok(body) = encode_body(&RosterRequest {
            from: self.local_identity().clone(),
            after,
            buckets: self.marks.parts.to_vec(),
        }) {
            self.send(from.address, DatagramKind::RosterRequest, &body);
        }
    }

    /// The next of those in the view past a name, in parts that are not as the asker's, as many as
    /// a datagram holds.
    pub(super) fn send_page(&mut self, ask: &RosterRequest) {
        let past = (
            std::ops::Bound::Excluded(&ask.after),
            std::ops::Bound::Unbounded,
        );
        let room = MAX_BODY_BYTES;
        let mut page = RosterPage {
            from: self.local_identity().clone(),
            members: vec![],
            last: true,
        };
        let mut size = encode_body(&page).map_or(room, |b| b.len() + 2);
        let now = self.health.now();
        let lately = |r: &&Row| r.active() || r.id.phase != Phase::Left && now - r.since < LATELY;
        let unlike: [bool; PARTS] =
            std::array::from_fn(|p| ask.buckets.get(p) != Some(&self.marks.parts[p]));
        let differs = |r: &&Row| unlike[Marks::part(&r.id.name)];
        for row in self
            .rows
            .range::<CompactString, _>(past)
            .map(|r| r.1)
            .filter(lately)
            .filter(differs)
        {
            let told = match row.held {
                Held::In => Told::Alive,
                Held::Suspect => Told::Suspect,
                Held::Down => Told::Down,
            };
            let member = Member::new(row.id.clone(), row.incarnation, told);
            size += encode_body(&member).map_or(room, |b| b.len());
            if size > room {
                page.last = false;
                break;
            }
            page.members.push(member);
        }
        if let Ok(body) = encode_body(&page) {
            self.send(ask.from.address, DatagramKind::RosterPage, &body);
        }
    }

    pub(super) fn read_page(&mut self, now: Timestamp, page: RosterPage) {
        if self.roster.pending_page(&page.from).is_none() {
            return;
        }
        let last_name = page.members.last().map(|m| m.id().name.clone());
        let contested: Vec<CompactString> = page
            .members
            .iter()
            .filter(|m| m.state() != Told::Down && m.id().phase != Phase::Left)
            .filter(|m| {
                self.rows
                    .get(&m.id().name)
                    .is_some_and(|r| !r.active() && r.id.phase != Phase::Left)
            })
            .map(|m| m.id().name.clone())
            .collect();
        let weighed: Vec<Member<MemberIdentity>> = page
            .members
            .into_iter()
            .filter_map(|m| self.weigh(now, m, false))
            .collect();
        let words: Vec<(MemberIdentity, u16, Told)> = weighed
            .iter()
            .map(|m| (m.id().clone(), m.incarnation(), m.state()))
            .collect();
        let before = self.changed;
        let known = |id: &MemberIdentity| {
            self.rows
                .get(&id.name)
                .is_some_and(|r| r.active() && r.id == *id)
        };
        let new = words.iter().filter(|w| !known(&w.0)).count();
        let passed_on = new <= PASSED_ON;
        self.with_swim(now, |swim, wants| {
            swim.apply_many(weighed.into_iter(), passed_on, wants)
        });
        for (id, incarnation, told) in words {
            self.word(now, &id, incarnation, told);
        }
        if !passed_on {
            // Its own reading is no news under way.
            self.changed = before;
        }
        let brought = new + contested.len();
        for name in contested {
            self.calls_again(now, name);
        }
        if let Some(after) = self
            .roster
            .page_received(now, last_name.as_ref(), page.last, brought)
        {
            self.ask(&page.from, after);
        }
    }
}
