//! Reads the sections that group handlers: pools, budgets and backends. Each section is compared with the earlier
//! ones of its kind: pools and budgets may not share handlers, and backends may not share only some of theirs.

use crate::error::Problem;
use crate::file::OperatorFile;
use crate::names::Names;
use crate::section::Section;

/// The key that lists a group's handlers.
pub(crate) const HANDLERS: &str = "handlers";

/// Reads sections in their order. `read_one` also receives the groups that were read from the earlier sections.
pub(crate) fn read_each<T>(
    file: &mut OperatorFile,
    sections: &[Section],
    read_one: impl Fn(&mut OperatorFile, &Section, &[T]) -> T,
) -> Vec<T> {
    let mut groups = vec![];
    for section in sections {
        let group = read_one(file, section, &groups);
        groups.push(group);
    }
    groups
}

/// Reads the handlers of a group that may not share any with the `earlier` groups of its kind, which are
/// given by their names and handlers.
pub(crate) fn read_disjoint<'a>(
    file: &mut OperatorFile,
    section: &Section,
    kind: &'static str,
    earlier: impl Iterator<Item = (&'a String, &'a Names)> + Clone,
) -> Names {
    let handlers = read(file, section, kind);
    check_disjoint(file, section, kind, &handlers, earlier);
    handlers
}

/// Reads the handlers of a group, which must have at least one.
pub(crate) fn read(file: &mut OperatorFile, section: &Section, kind: &'static str) -> Names {
    let handlers = file.names(section, HANDLERS);
    if handlers.names.is_empty() {
        file.key_error(section, HANDLERS, Problem::NoHandlers(kind));
    }
    handlers
}

/// Reports the first handler that belongs to an earlier group of the same kind.
fn check_disjoint<'a>(
    file: &mut OperatorFile,
    section: &Section,
    kind: &'static str,
    handlers: &Names,
    earlier: impl Iterator<Item = (&'a String, &'a Names)> + Clone,
) {
    let problem = handlers.names.iter().find_map(|handler| {
        let has_handler = |(_, other): &(&String, &Names)| other.names.contains(handler);
        let (name, _) = earlier.clone().find(has_handler)?;
        Some(Problem::HandlerInTwoGroups {
            handler: handler.clone(),
            kind,
            name: name.clone(),
        })
    });
    if let Some(problem) = problem {
        file.key_error(section, HANDLERS, problem);
    }
}
