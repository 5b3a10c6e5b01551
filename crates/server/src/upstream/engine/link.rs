//! The sending side of the link.
//!
//! Commands and queries for the gauges go out in order on one link. Gauges that come back prove that the engine has
//! read all that was sent before their query on the same link. Commands that were not proven are the core's to send
//! again.

use super::read_proof::{LinkAnswers, ReadProof};
use super::wire_names::{command, member};
use crate::support::io::Outbox;
use std::io::Write;

/// Ticks of the timer without an answer to a query for the gauges, after which the link counts as silent and is made
/// anew: two seconds. Counted, not timed, since a pause of this process is no silence.
const MAX_SILENT_TICKS: u32 = 200;

/// The sending side: what was queried on the link, and what is proven by the answers.
#[derive(Default)]
pub struct EngineLink {
    /// What is to be sent on the link of the moment.
    outbox: Outbox,
    /// Linked, and all notices that were missed have been read.
    is_up: bool,
    /// The number of the last query for the gauges, over all links.
    last_query: u64,
    /// The queries of the link of the moment that were answered.
    answers: LinkAnswers,
    /// Those of the last link that was up, as they were when it was lost.
    answers_of_last_up_link: LinkAnswers,
    /// Ticks since a query that is still open.
    silent_ticks: u32,
}

impl EngineLink {
    /// Begins a fresh connection: the engine is notified of the last notice that was read.
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

    /// The connection is gone: what is sent now waits for the next one. What was proven stays as it was when a link is
    /// lost before it was up, however often: else commands lost with the first would count as read.
    pub fn lost(&mut self) {
        if std::mem::replace(&mut self.is_up, false) {
            self.answers_of_last_up_link = self.answers;
        }
    }

    /// All notices that were missed have been read: what is sent goes out from now on. Returns whether it did not
    /// before.
    pub fn restored(&mut self) -> bool {
        !std::mem::replace(&mut self.is_up, true)
    }

    /// Whether what is sent goes out.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// All bytes that were sent on the link of the moment, written or not.
    pub fn queued_bytes(&self) -> u64 {
        self.outbox.queued()
    }

    /// The bytes that were written to the link of the moment.
    pub fn written_bytes(&self) -> u64 {
        self.outbox.written()
    }

    /// Sends a line while the link is up, else nothing. Gives what will prove that the engine has read it; a line that
    /// was not sent is never proven.
    pub fn send(&self, line: &[u8]) -> Option<ReadProof> {
        if !self.is_up {
            return None;
        }
        self.outbox.put(|bytes| bytes.extend_from_slice(line));
        Some(self.answers.proof_by_answer_to(self.last_query + 1))
    }

    /// Whether the engine has surely read what was sent with this proof.
    pub fn is_proven(&self, proof: ReadProof) -> bool {
        self.answers.prove(proof) || self.answers_of_last_up_link.prove(proof)
    }

    /// At each tick of the timer the gauges are queried, and a link that answers none for long is ended.
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

    /// Queries the gauges, unless a query is open; `even_if_open` sends another one then.
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

    /// Whether a query that was sent on this link is not answered.
    fn is_query_open(&self) -> bool {
        self.answers.last_answered() < self.last_query
    }

    /// The number of the last query, over all links.
    pub fn last_query(&self) -> u64 {
        self.last_query
    }

    /// The answers on the last link that was up, as they were when it was lost.
    pub fn proven_before(&self) -> LinkAnswers {
        self.answers_of_last_up_link
    }

    /// The gauges came that this query asked for. False where it was not sent on this link: an answer to a former link
    /// proves nothing, and says nothing of the notices that were missed.
    #[must_use]
    pub(super) fn gauges_answered(&mut self, query: u64) -> bool {
        self.answers.answered(query, self.last_query)
    }
}
