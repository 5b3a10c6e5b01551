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
    #[error("key outside of any section")]
    OutsideOfSections,
    /// A section or a key is repeated.
    #[error("is defined twice")]
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
    #[error("takes no name")]
    UnexpectedSectionName,
    /// The name of a section is empty, is too long or has invalid characters.
    #[error("must have a name of 1 to 63 letters, digits, '-', '_' or '.'")]
    InvalidSectionName,
    /// The section requires another one with this title, which is absent.
    #[error("requires a section [{0}]")]
    MissingSection(&'static str),

    /// A required key is absent.
    #[error("must be set")]
    NotSet,
    /// The value is not a number or is out of range.
    #[error("'{text}' is not a number from {min} to {max}")]
    NumberOutOfRange {
        /// The value as written in the file.
        text: String,
        /// The smallest valid number.
        min: String,
        /// The largest valid number.
        max: String,
    },
    /// The value is not one of the key's words.
    #[error("'{text}' is not one of {}", words.join(", "))]
    UnknownWord {
        /// The value as written in the file.
        text: String,
        /// The valid words.
        words: Vec<&'static str>,
    },
    /// The value is not an IP address with a port.
    #[error("'{0}' is not an IP address with a port")]
    InvalidAddress(String),
    /// The value is neither a network nor an IP address.
    #[error("'{0}' is not a network such as 10.0.0.0/8")]
    InvalidNetwork(String),
    /// The value has characters that are invalid in a name, or too many characters.
    #[error("'{0}' is not a name of at most 63 letters, digits, '-', '_' or '.'")]
    InvalidName(String),
    /// A list has the same name twice.
    #[error("'{0}' is listed twice")]
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
    #[error("a {0} must have at least one handler")]
    NoHandlers(&'static str),
    /// A handler belongs to an earlier section of the same kind.
    #[error("'{handler}' already belongs to {kind} {name}")]
    HandlerInTwoGroups {
        /// The handler.
        handler: String,
        /// Kind of the sections, as in `pool`.
        kind: &'static str,
        /// Name of the earlier section.
        name: String,
    },
    /// A pool has no name.
    #[error("a pool must have a name: [pool NAME]")]
    UnnamedPool,
    /// A pool has the name that is reserved for the pool of all other handlers.
    #[error("'rest' is reserved for the pool of all handlers that are in no other pool")]
    ReservedPoolName,

    /// The idempotency store is enabled and has no directory.
    #[error("must name a directory")]
    NoDirectory,
    /// The path of the control socket is empty or too long.
    #[error("must be a path of 1 to {max_bytes} bytes")]
    InvalidSocketPath {
        /// Maximum length of the path in bytes.
        max_bytes: usize,
    },

    /// The membership is enabled and has no address to listen on.
    #[error("must be set to an IP address with a port")]
    NoListenAddress,
    /// Other servers can't send datagrams to the address.
    #[error("'{0}' is not an address that other servers can send to")]
    UnusableAdvertisedAddress(SocketAddr),
    /// An address belongs to none of the fleet's networks.
    #[error("'{0}' lies in none of the networks")]
    OutsideOfNetworks(SocketAddr),
    /// The suspicion timeout is shorter than two probe intervals.
    #[error("must be at least twice probe_ms, otherwise one lost datagram takes a server down")]
    SuspicionTooShort,

    /// Quotas are enabled, but the membership is not.
    #[error("requires [members], through which the servers communicate")]
    QuotasWithoutMembership,
    /// A budget's base quotas are all 0, and this server has no slot.
    #[error(
        "{calls} calls leave {servers} servers without a base quota: set each server's seat in \
         [shared]"
    )]
    NoBaseQuota {
        /// Number of calls that the whole fleet may have in flight.
        calls: u32,
        /// Upper bound on the number of servers.
        servers: u32,
    },
    /// The kind of a counter's keys is not set.
    #[error("must be tenant or handler")]
    NoCounterKind,
    /// More than one counter has tenants as its keys.
    #[error("two or more counts are by tenant, but tenant quotas can depend on only one")]
    SeveralTenantCounters,

    /// Calls can't be sent to the address of a backend.
    #[error("'{0}' is not an address that calls can be sent to")]
    UnusableBackendAddress(SocketAddr),
    /// Another backend has the same address.
    #[error("shares its address with backend {0}")]
    BackendAddressTaken(String),
    /// Two backends have some, but not all, handlers in common.
    #[error("shares some, but not all, handlers with backend {0}")]
    PartlySharedHandlers(String),
    /// Routing is enabled and has no backends.
    #[error("requires at least one section [backend NAME]")]
    NoBackends,
    /// There are too many backends.
    #[error("has more than {max} backends")]
    TooManyBackends {
        /// The maximum number of backends.
        max: usize,
    },
}
