//! The sending side of the link.
//!
//! Commands and queries for the gauges are sent in order on one link. An answer with gauges proves that the engine
//! has read everything that was sent before the query on the same link. The core sends commands again that were not
//! proven to be read.

use super::read_proof::{LinkAnswers, ReadProof};
use super::wire_names::{command, member};
use crate::support::io::Outbox;
use std::io::Write;

/// Number of ticks without an answer to a query for the gauges after which the link is considered silent and is
/// reopened: two seconds. Ticks are counted instead of time, because a pause of this process is not silence of the
/// engine.
const MAX_SILENT_TICKS: u32 = 200;

/// The sending side of the link: the queries that were sent and what their answers prove.
#[derive(Default)]
pub struct EngineLink {
    /// The outbox of the current link.
    outbox: Outbox,
    /// The link is open, and all notices that were missed have been read.
    is_up: bool,
    /// The number of the last query for the gauges, over all links.
    last_query: u64,
    /// The answered queries of the current link.
    answers: LinkAnswers,
    /// The answered queries of the last link that was up, as of its loss.
    answers_of_last_up_link: LinkAnswers,
    /// Ticks since a query was sent that is still unanswered.
    silent_ticks: u32,
}

impl EngineLink {
    /// Starts a new link, and tells the engine the serial of the last notice that was read.
    pub fn attach(&mut self, outbox: Outbox, serial: u64) {
        outbox.put(|bytes| {
            // Writing to a vector can't fail.
            let _ = writeln!(
                bytes,
                "{{\"{}\":\"{}\",\"{}\":{serial}}}",
                member::KIND,
                command::ATTACH,
                member::SERIAL
            );
        });
        self.outbox = outbox;
        self.answers = self.answers.for_next_link(self.last_query);
        self.silent_ticks = 0;
    }

    /// Records the loss of the link; nothing is sent until the next one. Answers stay as they were when a link is
    /// lost before it was up, however often that happens; otherwise commands lost with the first link would count
    /// as read.
    pub fn lost(&mut self) {
        if std::mem::replace(&mut self.is_up, false) {
            self.answers_of_last_up_link = self.answers;
        }
    }

    /// Records that all missed notices have been read, so that lines are sent from now on. Returns whether the link
    /// was not up before.
    pub fn restored(&mut self) -> bool {
        !std::mem::replace(&mut self.is_up, true)
    }

    /// Reports whether lines are sent.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the number of bytes put on the current link, whether written or not.
    pub fn queued_bytes(&self) -> u64 {
        self.outbox.queued()
    }

    /// Returns the number of bytes written to the current link.
    pub fn written_bytes(&self) -> u64 {
        self.outbox.written()
    }

    /// Sends a line if the link is up. Returns the proof that the engine has read it, or `None` if it was not sent:
    /// such a line is never proven to be read.
    pub fn send(&self, line: &[u8]) -> Option<ReadProof> {
        if !self.is_up {
            return None;
        }
        self.outbox.put(|bytes| bytes.extend_from_slice(line));
        Some(self.answers.proof_by_answer_to(self.last_query + 1))
    }

    /// Reports whether the engine has certainly read what was sent with this proof.
    pub fn is_proven(&self, proof: ReadProof) -> bool {
        self.answers.prove(proof) || self.answers_of_last_up_link.prove(proof)
    }

    /// Handles a tick: queries the gauges, and closes a link that has answered none for `MAX_SILENT_TICKS`.
    pub fn on_tick(&mut self) {
        self.silent_ticks = if self.is_query_open() {
            self.silent_ticks + 1
        } else {
            0
        };
        if self.silent_ticks == MAX_SILENT_TICKS {
            self.outbox.cut();
        }
        if self.is_up {
            self.query_gauges(false);
        }
    }

    /// Queries the gauges unless a query is unanswered. With `even_if_open`, a query is sent in that case too.
    pub fn query_gauges(&mut self, even_if_open: bool) {
        if !self.is_query_open() || even_if_open {
            self.last_query += 1;
            let query = self.last_query;
            self.outbox.put(|bytes| {
                let _ = writeln!(
                    bytes,
                    "{{\"{}\":\"{}\",\"{}\":\"{query}\"}}",
                    member::KIND,
                    command::QUERY_GAUGES,
                    member::QUERY
                );
            });
        }
    }

    /// Reports whether a query that was sent on this link is unanswered.
    fn is_query_open(&self) -> bool {
        self.answers.last_answered() < self.last_query
    }

    /// Returns the number of the last query, over all links.
    pub fn last_query(&self) -> u64 {
        self.last_query
    }

    /// Returns the answered queries of the last link that was up, as of its loss.
    pub fn proven_before(&self) -> LinkAnswers {
        self.answers_of_last_up_link
    }

    /// Records the answer to a query for the gauges. Returns false if the query was not sent on this link: an
    /// answer to a previous link proves nothing, and tells nothing about the notices that were missed.
    #[must_use]
    pub(super) fn gauges_answered(&mut self, query: u64) -> bool {
        self.answers.answered(query, self.last_query)
    }
}
