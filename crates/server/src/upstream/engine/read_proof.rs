//! What proves that the engine has read a command: the answer to a query that was sent behind it on the same link.
//!
//! Owns: which queries of one link were answered. Is given each answer. A new link begins without one, so that neither
//! the loss of a link nor the next link can pass for an answer.

/// Proves that a command was read, once the query of this number is answered on the link that carried both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProof {
    link: u64,
    query: u64,
}

/// The queries of one link that were answered. Queries are numbered over all links, in the order in which they are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkAnswers {
    /// The number of the link, in the order in which links are made.
    link: u64,
    /// The last query before the link.
    last_query_before: u64,
    /// The last query that was answered; `last_query_before` where none was.
    last_answered: u64,
}

impl LinkAnswers {
    /// The answers on the link that follows, which has none yet; `last_query` is the last query that was sent before.
    pub(super) fn for_next_link(self, last_query: u64) -> LinkAnswers {
        LinkAnswers {
            link: self.link + 1,
            last_query_before: last_query,
            last_answered: last_query,
        }
    }

    /// The last query that needs no answer any more: it was answered, or sent before this link.
    pub(super) fn last_answered(self) -> u64 {
        self.last_answered
    }

    /// The proof that the answer to a query will give on this link.
    pub(super) fn proof_by_answer_to(self, query: u64) -> ReadProof {
        let link = self.link;
        ReadProof { link, query }
    }

    /// A query was answered. False where it is none of this link, whose queries go up to `last_query`.
    pub(super) fn answered(&mut self, query: u64, last_query: u64) -> bool {
        let is_of_link = self.last_query_before < query && query <= last_query;
        if is_of_link {
            self.last_answered = self.last_answered.max(query);
        }
        is_of_link
    }

    /// Whether these answers prove what was sent with `proof`.
    pub fn prove(self, proof: ReadProof) -> bool {
        self.link == proof.link && self.last_answered >= proof.query
    }
}
