//! Errors of an operator file. Each displays as one line: `FILE:LINE: [SECTION] KEY: problem`.

use std::fmt;
use std::net::SocketAddr;

/// All errors of an operator file, in the order of their lines. There is at least one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}", self.lines().join("\n"))]
pub struct OperatorFileErrors {
    errors: Vec<OperatorFileError>,
}

impl OperatorFileErrors {
    /// Sorts the errors by line, and errors of the same line by their text.
    pub(crate) fn sorted(mut errors: Vec<OperatorFileError>) -> OperatorFileErrors {
        errors.sort_by_cached_key(|error| (error.place.line, error.to_string()));
        OperatorFileErrors { errors }
    }

    /// Returns the errors in the order of their lines.
    pub fn iter(&self) -> impl Iterator<Item = &OperatorFileError> {
        self.errors.iter()
    }

    /// Returns the error messages for the operator, one line each.
    pub fn lines(&self) -> Vec<String> {
        self.iter().map(ToString::to_string).collect()
    }
}

/// One error of an operator file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{place}: {problem}")]
pub struct OperatorFileError {
    /// Where the error is.
    pub place: Box<Place>,
    /// What is wrong.
    pub problem: Problem,
}

/// A place in an operator file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Title of the section, as in `pool seats`; `None` outside of any section.
    pub section: Option<String>,
    /// The key; `None` if the error concerns a whole section or the file.
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
    /// The text is not INI; holds the message of the parser.
    #[error("{0}")]
    Syntax(String),
    /// A key precedes the first section.
    #[error("stands in no section")]
    OutsideOfSections,
    /// A section or a key is repeated.
    #[error("stands twice")]
    Repeated,
    /// The section does not exist.
    #[error("no such section")]
    UnknownSection,
    /// The section does not have the key.
    #[error("no such key; known are {}", known.join(", "))]
    UnknownKey {
        /// The keys of the section.
        known: &'static [&'static str],
    },
    /// The section's title has a name, but there can be only one section of its kind.
    #[error("has no name of its own")]
    UnexpectedSectionName,
    /// The name of a section is empty, is too long or has invalid characters.
    #[error("has a name of letters, digits, '-', '_' and '.', 63 at most")]
    InvalidSectionName,
    /// The section requires another one with this title, which is absent.
    #[error("goes with a section [{0}]")]
    MissingSection(&'static str),

    /// A required key is absent.
    #[error("has to be set")]
    NotSet,
    /// The value is not a number or is out of range.
    #[error("'{text}' is no number from {min} to {max}")]
    NumberOutOfRange {
        /// The value as written in the file.
        text: String,
        /// The smallest valid number.
        min: String,
        /// The largest valid number.
        max: String,
    },
    /// The value is not one of the key's words.
    #[error("'{text}' is none of {}", words.join(", "))]
    UnknownWord {
        /// The value as written in the file.
        text: String,
        /// The valid words.
        words: Vec<&'static str>,
    },
    /// The value is not an IP address with a port.
    #[error("'{0}' is no address and port")]
    InvalidAddress(String),
    /// The value is neither a network nor an IP address.
    #[error("'{0}' is no network, as in 10.0.0.0/8")]
    InvalidNetwork(String),
    /// The value has characters that are invalid in a name, or too many characters.
    #[error("'{0}' is no name of letters, digits, '-', '_' and '.', 63 at most")]
    InvalidName(String),
    /// A list has the same name twice.
    #[error("'{0}' stands twice")]
    RepeatedName(String),
    /// A list has an unknown name.
    #[error("'{name}' is no {kind}; known are {}", known.join(", "))]
    UnknownName {
        /// The name as written in the file.
        name: String,
        /// The kind of thing that it should name, as in `handler`.
        kind: &'static str,
        /// The known names.
        known: Vec<String>,
    },

    /// A section that groups handlers does not list any.
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
    /// A pool has the name that is reserved for the pool of all other handlers.
    #[error("'rest' is the pool of what is in no other")]
    ReservedPoolName,

    /// The idempotency store is enabled and has no directory.
    #[error("has to name a folder")]
    NoDirectory,
    /// The path of the control socket is empty or too long.
    #[error("has to name a path of 1 to {max_bytes} bytes")]
    InvalidSocketPath {
        /// Maximum length of the path in bytes.
        max_bytes: usize,
    },

    /// The membership is enabled and has no address to listen on.
    #[error("has to name an address and port")]
    NoListenAddress,
    /// Other servers can't send datagrams to the address.
    #[error("'{0}' is nowhere that others can send to")]
    UnusableAdvertisedAddress(SocketAddr),
    /// An address belongs to none of the fleet's networks.
    #[error("'{0}' lies in none of the networks")]
    OutsideOfNetworks(SocketAddr),
    /// The suspicion timeout is shorter than two probe intervals.
    #[error("a suspicion outlasts two probes, or one lost datagram takes a server down")]
    SuspicionTooShort,

    /// Quotas are enabled, but the membership is not.
    #[error("goes with [members], by which servers hear each other")]
    QuotasWithoutMembership,
    /// A budget's base quotas are all 0, and this server has no slot.
    #[error(
        "{calls} calls give none of {servers} servers any of its own: set each server's seat in \
         [shared]"
    )]
    NoBaseQuota {
        /// Number of calls that the whole fleet may have in flight.
        calls: u32,
        /// Upper bound on the number of servers.
        servers: u32,
    },
    /// The kind of a counter's keys is not set.
    #[error("has to be tenant or handler")]
    NoCounterKind,
    /// More than one counter has tenants as its keys.
    #[error("one count by tenant is enough: it is what allowances go by")]
    SeveralTenantCounters,

    /// Calls can't be sent to the address of a backend.
    #[error("'{0}' is nowhere that calls can go to")]
    UnusableBackendAddress(SocketAddr),
    /// Another backend has the same address.
    #[error("is backend {0}'s already")]
    BackendAddressTaken(String),
    /// Two backends have some, but not all, handlers in common.
    #[error("shares some handlers with backend {0}, and not all")]
    PartlySharedHandlers(String),
    /// Routing is enabled and has no backends.
    #[error("goes with sections [backend NAME]")]
    NoBackends,
    /// There are too many backends.
    #[error("has more than {max} backends")]
    TooManyBackends {
        /// The maximum number of backends.
        max: usize,
    },
}
