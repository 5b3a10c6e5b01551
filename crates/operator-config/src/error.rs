//! Errors of an operator file. Each displays as one line: `FILE:LINE: [SECTION] KEY: problem`.

use std::fmt;
use std::net::SocketAddr;

/// Everything that is wrong with an operator file, in the order of the lines; at least one error.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}", self.lines().join("\n"))]
pub struct OperatorFileErrors {
    errors: Vec<OperatorFileError>,
}

impl OperatorFileErrors {
    /// Sorts the errors by line, and those of one line by their text.
    pub(crate) fn sorted(mut errors: Vec<OperatorFileError>) -> OperatorFileErrors {
        errors.sort_by_cached_key(|error| (error.place.line, error.to_string()));
        OperatorFileErrors { errors }
    }

    /// The errors in the order of the lines.
    pub fn iter(&self) -> impl Iterator<Item = &OperatorFileError> {
        self.errors.iter()
    }

    /// The errors as the operator sees them, one line each.
    pub fn lines(&self) -> Vec<String> {
        self.iter().map(ToString::to_string).collect()
    }
}

/// One thing that is wrong with an operator file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{place}: {problem}")]
pub struct OperatorFileError {
    /// Where it is wrong.
    pub place: Box<Place>,
    /// What is wrong there.
    pub problem: Problem,
}

/// A place in an operator file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Title of the section, as in `pool seats`; `None` outside of all sections.
    pub section: Option<String>,
    /// The key; `None` where the section itself, or the text, is meant.
    pub key: Option<String>,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)?;
        match (&self.section, &self.key) {
            (None, None) => Ok(()),
            (None, Some(key)) => write!(f, ": {key}"),
            (Some(title), None) => write!(f, ": [{title}]"),
            (Some(title), Some(key)) => write!(f, ": [{title}] {key}"),
        }
    }
}

/// What is wrong at a place of an operator file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The text is not INI: what the parser reports.
    #[error("{0}")]
    Syntax(String),
    /// A key stands before the first section.
    #[error("stands in no section")]
    OutsideOfSections,
    /// A section or a key stands a second time.
    #[error("stands twice")]
    Repeated,
    /// The section does not exist.
    #[error("no such section")]
    UnknownSection,
    /// The section has no such key.
    #[error("no such key; known are {}", known.join(", "))]
    UnknownKey {
        /// The keys that it has.
        known: &'static [&'static str],
    },
    /// A section of which there is only one has a name.
    #[error("has no name of its own")]
    UnexpectedSectionName,
    /// The name of a section is empty or has other characters.
    #[error("has a name of letters, digits, '-', '_' and '.', 63 at most")]
    InvalidSectionName,
    /// A section needs another one, of that title.
    #[error("goes with a section [{0}]")]
    MissingSection(&'static str),

    /// A key without default is absent.
    #[error("has to be set")]
    NotSet,
    /// A number is no number, or out of its range.
    #[error("'{text}' is no number from {min} to {max}")]
    NumberOutOfRange {
        /// The value as it stands.
        text: String,
        /// The least number allowed.
        min: String,
        /// The greatest number allowed.
        max: String,
    },
    /// A value is none of the words that the key may have.
    #[error("'{text}' is none of {}", words.join(", "))]
    UnknownWord {
        /// The value as it stands.
        text: String,
        /// The words that the key may have.
        words: Vec<&'static str>,
    },
    /// A value is not an IP address with a port.
    #[error("'{0}' is no address and port")]
    InvalidAddress(String),
    /// A value is neither a network nor an IP address.
    #[error("'{0}' is no network, as in 10.0.0.0/8")]
    InvalidNetwork(String),
    /// A value has other characters than a name, or too many.
    #[error("'{0}' is no name of letters, digits, '-', '_' and '.', 63 at most")]
    InvalidName(String),
    /// A list has a name a second time.
    #[error("'{0}' stands twice")]
    RepeatedName(String),
    /// A name in a list is none of those known.
    #[error("'{name}' is no {kind}; known are {}", known.join(", "))]
    UnknownName {
        /// The name as it stands.
        name: String,
        /// What it should name, as in `handler`.
        kind: &'static str,
        /// The names known.
        known: Vec<String>,
    },

    /// A section that groups handlers has none.
    #[error("a {0} has at least one handler")]
    NoHandlers(&'static str),
    /// A handler belongs to an earlier section of the same kind.
    #[error("'{handler}' is in {kind} {name} already")]
    HandlerInTwoGroups {
        /// The handler.
        handler: String,
        /// Kind of the sections, as in `pool`.
        kind: &'static str,
        /// Name of the earlier section.
        name: String,
    },
    /// A pool has no name.
    #[error("a pool has a name: [pool NAME]")]
    UnnamedPool,
    /// A pool has the name of the one that holds all other handlers.
    #[error("'rest' is the pool of what is in no other")]
    ReservedPoolName,

    /// The idempotency store is on and has no directory.
    #[error("has to name a folder")]
    NoDirectory,
    /// The path of the control socket is empty or too long.
    #[error("has to name a path of 1 to {max_bytes} bytes")]
    InvalidSocketPath {
        /// Bytes of the longest path.
        max_bytes: usize,
    },

    /// The membership is on and has no address to listen on.
    #[error("has to name an address and port")]
    NoListenAddress,
    /// Other servers can't send to the address.
    #[error("'{0}' is nowhere that others can send to")]
    UnusableAdvertisedAddress(SocketAddr),
    /// An address belongs to none of the fleet's networks.
    #[error("'{0}' lies in none of the networks")]
    OutsideOfNetworks(SocketAddr),
    /// The suspicion is shorter than two probes.
    #[error("a suspicion outlasts two probes, or one lost datagram takes a server down")]
    SuspicionTooShort,

    /// Quotas are on without the membership.
    #[error("goes with [members], by which servers hear each other")]
    QuotasWithoutMembership,
    /// A budget's base quotas are all 0, and this server has no slot.
    #[error(
        "{calls} calls give none of {servers} servers any of its own: set each server's seat in \
         [shared]"
    )]
    NoBaseQuota {
        /// Calls in flight that the whole fleet may have.
        calls: u32,
        /// Upper bound on the number of servers.
        servers: u32,
    },
    /// A counter does not say what it counts by.
    #[error("has to be tenant or handler")]
    NoCounterKind,
    /// There are several counters by tenant.
    #[error("one count by tenant is enough: it is what allowances go by")]
    SeveralTenantCounters,

    /// Calls can't be sent to the address of a backend.
    #[error("'{0}' is nowhere that calls can go to")]
    UnusableBackendAddress(SocketAddr),
    /// Another backend has the same address.
    #[error("is backend {0}'s already")]
    BackendAddressTaken(String),
    /// Two backends have some handlers in common, and each others too.
    #[error("shares some handlers with backend {0}, and not all")]
    PartlySharedHandlers(String),
    /// Routing is on and has no backends.
    #[error("goes with sections [backend NAME]")]
    NoBackends,
    /// There are too many backends.
    #[error("has more than {max} backends")]
    TooManyBackends {
        /// The most there may be.
        max: usize,
    },
}
