//! Parses the text of a history. Whatever follows `#` in a line is a comment; words beyond those that a line needs are
//! ignored.

use super::{History, HistoryError, LineError, words};
use crate::fault::{BackendFault, DatagramFaults, Defect, Fault, ScheduledFault};
use crate::features::Features;
use crate::ids::{BackendId, ServerId};
use std::str::FromStr;

impl History {
    /// Parses the text of a history and sorts its faults by time. `source_name` names the text in errors.
    ///
    /// # Errors
    ///
    /// Returns the first line that does not match the grammar, or else the first fault that names a server or backend
    /// that the history does not have.
    pub fn parse(source_name: &str, text: &str) -> Result<History, HistoryError> {
        let mut history = History::default();
        for (line, content) in (1..).zip(text.lines()) {
            history
                .parse_line(content)
                .map_err(|error| HistoryError::Line {
                    source_name: source_name.into(),
                    line,
                    error,
                })?;
        }
        history.faults.sort_by_key(|scheduled| scheduled.at_ms);
        history.check_ranges(source_name)?;
        Ok(history)
    }

    fn check_ranges(&self, source_name: &str) -> Result<(), HistoryError> {
        let out_of_range = |scheduled: &&ScheduledFault| !self.contains_target(scheduled.fault);
        match self.faults.iter().find(out_of_range) {
            None => Ok(()),
            Some(scheduled) => Err(HistoryError::OutOfRange {
                source_name: source_name.into(),
                fault: scheduled.fault,
            }),
        }
    }

    /// Reports whether the server or backend of a fault exists in this history.
    fn contains_target(&self, fault: Fault) -> bool {
        match fault {
            Fault::Kill(server)
            | Fault::Start(server)
            | Fault::Stop(server)
            | Fault::Continue(server)
            | Fault::Isolate(server)
            | Fault::BlockOutgoing(server)
            | Fault::SlowEngine { server, .. }
            | Fault::Load { server, .. } => server.0 < self.servers,
            Fault::Backend { backend, .. } => backend.0 < self.backends,
            Fault::PartitionHalves
            | Fault::Heal
            | Fault::Datagrams(_)
            | Fault::ClearDatagramFaults => true,
        }
    }

    fn parse_line(&mut self, line: &str) -> Result<(), LineError> {
        let content = line.split('#').next().unwrap_or_default();
        let line_words: Vec<&str> = content.split_whitespace().collect();
        match line_words.as_slice() {
            [] => {}
            [words::SERVERS, values @ ..] => self.servers = parse_number(values, 0)?,
            [words::BACKENDS, values @ ..] => self.backends = parse_number(values, 0)?,
            [words::ZONES, values @ ..] => self.zones = parse_number::<usize>(values, 0)?.max(1),
            [words::SECONDS, values @ ..] => self.seconds = parse_number(values, 0)?,
            [words::REQUEST_RATE, values @ ..] => {
                self.requests_per_second = parse_number(values, 0)?;
            }
            [words::QUOTA, values @ ..] => self.quota = parse_number(values, 0)?,
            [words::DEFECT, name] => self.defect = Some(parse_defect(name)?),
            [words::FEATURES, names @ ..] => {
                self.features = Features::from_words(names)
                    .map_err(|name| LineError::UnknownFeature(name.into()))?;
            }
            [time, fault @ ..] if time.starts_with('@') => {
                let at_ms = parse_number(&[&time[1..]], 0)?;
                self.inject(at_ms, parse_fault(fault)?);
            }
            [word, ..] => return Err(LineError::UnknownLine((*word).into())),
        }
        Ok(())
    }
}

fn parse_number<T: FromStr>(values: &[&str], index: usize) -> Result<T, LineError> {
    let word = values.get(index).ok_or(LineError::MissingNumber)?;
    word.parse()
        .map_err(|_| LineError::InvalidNumber((*word).into()))
}

fn parse_defect(name: &str) -> Result<Defect, LineError> {
    Defect::from_name(name).ok_or_else(|| LineError::UnknownDefect(name.into()))
}

/// Parses the first word as the name of a server.
fn parse_server(values: &[&str]) -> Result<ServerId, LineError> {
    let name = values.first().ok_or(LineError::MissingServer)?;
    let number = name
        .strip_prefix('n')
        .and_then(|digits| digits.parse::<usize>().ok());
    match number {
        Some(number @ 1..) => Ok(ServerId(number - 1)),
        Some(0) | None => Err(LineError::InvalidServer((*name).into())),
    }
}

fn parse_fault(fault_words: &[&str]) -> Result<Fault, LineError> {
    let (word, values) = fault_words.split_first().unwrap_or((&"", &[]));
    Ok(match *word {
        words::KILL => Fault::Kill(parse_server(values)?),
        words::START => Fault::Start(parse_server(values)?),
        words::STOP => Fault::Stop(parse_server(values)?),
        words::CONTINUE => Fault::Continue(parse_server(values)?),
        words::SLOW_ENGINE => Fault::SlowEngine {
            server: parse_server(values)?,
            factor: parse_number(values, 1)?,
        },
        words::PARTITION_HALVES => Fault::PartitionHalves,
        words::ISOLATE => Fault::Isolate(parse_server(values)?),
        words::BLOCK_OUTGOING => Fault::BlockOutgoing(parse_server(values)?),
        words::HEAL => Fault::Heal,
        words::DATAGRAMS => Fault::Datagrams(parse_datagram_faults(values)?),
        words::CLEAR_DATAGRAM_FAULTS => Fault::ClearDatagramFaults,
        words::BACKEND => parse_backend_fault(values)?,
        words::LOAD => Fault::Load {
            server: parse_server(values)?,
            factor: parse_number(values, 1)?,
        },
        unknown => return Err(LineError::UnknownFault(unknown.into())),
    })
}

fn parse_datagram_faults(values: &[&str]) -> Result<DatagramFaults, LineError> {
    Ok(DatagramFaults {
        loss: parse_number(values, 0)?,
        duplication: parse_number(values, 1)?,
        corruption: parse_number(values, 2)?,
        max_delay_ms: parse_number(values, 3)?,
    })
}

/// Parses the number of a backend and its state. An invalid state is reported before an invalid number.
fn parse_backend_fault(values: &[&str]) -> Result<Fault, LineError> {
    let fault = match values.get(1).copied().unwrap_or_default() {
        words::HEALTHY_BACKEND => None,
        words::SILENT_BACKEND => Some(BackendFault::Silent),
        words::FAILING_BACKEND => Some(BackendFault::Failing),
        words::BACKEND_DOWN => Some(BackendFault::Down),
        words::SLOW_BACKEND => Some(BackendFault::Slow {
            factor: parse_number(values, 2)?,
        }),
        unknown => return Err(LineError::UnknownBackendFault(unknown.into())),
    };
    let backend = BackendId(parse_number(values, 0)?);
    Ok(Fault::Backend { backend, fault })
}
