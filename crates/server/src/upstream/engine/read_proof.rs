//! Proof that the engine has read a command: the answer to a query that was sent after the command on the same
//! link.
//!
//! `LinkAnswers` records which queries of one link were answered. A new link starts without any answer, so that
//! neither the loss of a link nor the next link counts as an answer.

/// Proves that a command was read once the query with this number is answered on the link that carried both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProof {
    link: u64,
    query: u64,
}

/// The answered queries of one link. Queries are numbered over all links, in the order in which they are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkAnswers {
    /// The number of the link, counted in the order in which links are opened.
    link: u64,
    /// The last query that was sent before this link was opened.
    last_query_before: u64,
    /// The last query that was answered, or `last_query_before` if there is none.
    last_answered: u64,
}

impl LinkAnswers {
    /// Returns the answers of the next link, which has none yet. `last_query` is the last query sent before it.
    pub(super) fn for_next_link(self, last_query: u64) -> LinkAnswers {
        LinkAnswers {
            link: self.link + 1,
            last_query_before: last_query,
            last_answered: last_query,
        }
    }

    /// Returns the last query that needs no answer any more: it was answered, or sent before this link.
    pub(super) fn last_answered(self) -> u64 {
        self.last_answered
    }

    /// Returns the proof that the answer to `query` on this link will give.
    pub(super) fn proof_by_answer_to(self, query: u64) -> ReadProof {
        let link = self.link;
        ReadProof { link, query }
    }

    /// Records the answer to a query. Returns false if the query does not belong to this link, whose queries end
    /// with `last_query`.
    pub(super) fn answered(&mut self, query: u64, last_query: u64) -> bool {
        let is_of_link = self.last_query_before < query && query <= last_query;
        if is_of_link {
            self.last_answered = self.last_answered.max(query);
        }
        is_of_link
    }

    /// Reports whether these answers prove that the command with this proof was read.
    pub fn prove(self, proof: ReadProof) -> bool {
        self.link == proof.link && self.last_answered >= proof.query
    }
}
