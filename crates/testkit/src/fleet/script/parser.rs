//! Parser of scripts. The documentation of [`super`] has the grammar. Lines are parsed in order,
//! because setup lines apply to the lines below them.

use super::error::{Expected, ScriptError};
use super::words::{
    Parsed, Unexpected, connectivity, fraction, member_state, number, server, servers, switch,
    time, unexpected,
};
use super::{Action, Condition, FleetSetup, QuotaSetup, Script, Step};
use madderbay::time::Duration;

impl Script {
    /// Parses a script. `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first invalid word with its line number.
    pub fn read(file: &str, text: &str) -> Result<Script, ScriptError> {
        let mut setup = FleetSetup::of(1);
        let mut steps = vec![];
        for (number, line) in (1..).zip(text.lines()) {
            let parsed = parse_line(&mut setup, line).map_err(|error| ScriptError {
                file: file.into(),
                line: number,
                word: error.word,
                expected: error.expected,
            })?;
            steps.extend(parsed.into_iter().map(|step| (number, step)));
        }
        Ok(Script { setup, steps })
    }
}

/// Parses a line. A setup line changes `setup` and has no steps; any other line returns its steps.
fn parse_line(setup: &mut FleetSetup, line: &str) -> Parsed<Vec<Step>> {
    let line = line.split('#').next().unwrap_or_default();
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        [] => {}
        ["servers", count] => setup.set_servers(number(count)?),
        ["zone", zone, ref names @ ..] => {
            for server in servers(setup, names)? {
                setup.zones[server] = zone.into();
            }
        }
        ["set", ref assignments @ ..] => {
            for assignment in assignments {
                apply_assignment(setup, assignment)?;
            }
        }
        [keyword, ref arguments @ ..] => return parse_step(setup, keyword, arguments),
    }
    Ok(vec![])
}

/// Applies a `KEY=VALUE` argument of `set` to the setup.
fn apply_assignment(setup: &mut FleetSetup, assignment: &str) -> Parsed<()> {
    let (key, value) = assignment
        .split_once('=')
        .ok_or_else(|| unexpected(assignment, Expected::Assignment))?;
    match key {
        "down_retention" => setup.down_retention = time(value)?,
        "suspicion" => setup.suspicion = time(value)?,
        "probe" => setup.probe = time(value)?,
        "max_members" => setup.max_members = number(value)?,
        "join" => {
            let names = value.split(',');
            setup.join = names
                .map(|name| server(setup, name))
                .collect::<Parsed<_>>()?;
        }
        "window" => setup.window = Some(time(value)?),
        "capacity" => setup.budget = Some(QuotaSetup::of(number(value)?, setup.servers)),
        _ => {
            let quota = setup
                .budget
                .as_mut()
                .ok_or_else(|| unexpected(key, Expected::Key))?;
            apply_quota_assignment(quota, key, value)?;
        }
    }
    Ok(())
}

/// Applies a key of `set` that belongs to the quota.
fn apply_quota_assignment(quota: &mut QuotaSetup, key: &str, value: &str) -> Parsed<()> {
    match key {
        "max_servers" => quota.servers = number(value)?,
        "slots" => quota.slots = switch(value)?,
        "lease" => quota.lease = time(value)?,
        "max_call" => quota.max_call = time(value)?,
        "call" => quota.call = time(value)?,
        _ => return Err(unexpected(key, Expected::Key)),
    }
    Ok(())
}

/// Parses an action or a condition. An action on several servers becomes one step per server. A
/// line without any step is an error.
fn parse_step(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Vec<Step>> {
    let steps = parse_steps(setup, keyword, arguments)?;
    if steps.is_empty() {
        return Err(malformed(keyword));
    }
    Ok(steps)
}

fn parse_steps(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Vec<Step>> {
    match keyword {
        "start" => parse_start(setup, arguments),
        "kill" => step_for_each(setup, arguments, Action::Kill),
        "stop" => step_for_each(setup, arguments, Action::Stop),
        "continue" => step_for_each(setup, arguments, Action::Continue),
        "drain" => step_for_each(setup, arguments, Action::Drain),
        "demand" | "capacity" => parse_amount(setup, keyword, arguments),
        "settle" | "view" | "connectivity" | "quota-at-least" | "quota-at-most"
        | "in-flight-at-least" => Ok(vec![parse_condition(setup, keyword, arguments)?]),
        "loss" | "duplicate" | "corrupt" | "delay" | "calm" => Ok(vec![Step::Action(
            parse_datagram_fault(keyword, arguments)?,
        )]),
        _ => Ok(vec![Step::Action(parse_action(setup, keyword, arguments)?)]),
    }
}

/// Parses a list of servers and returns one step per server.
fn step_for_each(
    setup: &FleetSetup,
    names: &[&str],
    action: impl Fn(usize) -> Action,
) -> Parsed<Vec<Step>> {
    let servers = servers(setup, names)?;
    Ok(servers
        .into_iter()
        .map(|server| Step::Action(action(server)))
        .collect())
}

/// Parses `start`. Its options may be anywhere between the servers.
fn parse_start(setup: &FleetSetup, arguments: &[&str]) -> Parsed<Vec<Step>> {
    let mut names = vec![];
    let mut taken_name = None;
    let mut clock = Duration::ZERO;
    let mut is_behind = false;
    for word in arguments {
        match word.split_once('=') {
            Some(("name", other)) => taken_name = Some(server(setup, other)?),
            Some(("clock", offset)) => {
                is_behind = offset.starts_with('-');
                clock = time(offset.trim_start_matches('-'))?;
            }
            _ => names.push(*word),
        }
    }
    step_for_each(setup, &names, |who| Action::Start {
        who,
        name: taken_name.unwrap_or(who),
        clock,
        back: is_behind,
    })
}

/// Parses `demand` and `capacity`, whose arguments are servers and a number.
fn parse_amount(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Vec<Step>> {
    let [names @ .., amount] = arguments else {
        return Err(malformed(keyword));
    };
    let amount = number(amount)?;
    if keyword == "demand" {
        return step_for_each(setup, names, |server| Action::Demand(server, amount));
    }
    step_for_each(setup, names, |server| Action::SetCapacity {
        server,
        capacity: amount,
    })
}

/// Parses the actions that are a single step.
fn parse_action(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Action> {
    match (keyword, arguments) {
        ("partition", groups) => {
            let groups = groups.split(|word| *word == "|");
            let groups = groups.map(|names| servers(setup, names));
            let groups: Vec<_> = groups.collect::<Parsed<_>>()?;
            if groups.iter().any(Vec::is_empty) {
                return Err(malformed(keyword));
            }
            Ok(Action::Cut(groups))
        }
        ("oneway", [from, ">", to @ ..]) if !to.is_empty() => {
            let from = server(setup, from)?;
            Ok(Action::OneWay(from, servers(setup, to)?))
        }
        ("heal", []) => Ok(Action::Heal),
        ("replay", [to]) => Ok(Action::Replay(server(setup, to)?)),
        ("peak", [most]) => Ok(Action::CheckPeak(number(most)?)),
        ("for", [duration]) => Ok(Action::Advance(time(duration)?)),
        ("downs", [most]) => Ok(Action::CheckWronglyDown(number(most)?)),
        _ => Err(malformed(keyword)),
    }
}

/// Parses a datagram fault. Faults that the line does not name are `None`, so they stay unchanged;
/// `calm` leaves all `None`.
fn parse_datagram_fault(keyword: &str, arguments: &[&str]) -> Parsed<Action> {
    let mut loss = None;
    let mut duplication = None;
    let mut corruption = None;
    let mut delay = None;
    match (keyword, arguments) {
        ("loss", [part]) => loss = Some(fraction(part)?),
        ("duplicate", [part]) => duplication = Some(fraction(part)?),
        ("corrupt", [part]) => corruption = Some(fraction(part)?),
        ("delay", [least, most]) => delay = Some((time(least)?, time(most)?)),
        ("calm", []) => {}
        _ => return Err(malformed(keyword)),
    }
    Ok(Action::Network {
        loss,
        duplication,
        corruption,
        delay,
    })
}

fn parse_condition(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Step> {
    let (condition, term) = match (keyword, arguments) {
        ("settle", [term]) => (Condition::Settled, term),
        ("view", [observers, member, state, term]) => {
            let condition = Condition::View {
                state: member_state(state)?,
                observers: servers(setup, &[observers])?,
                member: server(setup, member)?,
            };
            (condition, term)
        }
        ("connectivity", [names, word, term]) => {
            let condition = Condition::Connectivity {
                connectivity: connectivity(word)?,
                servers: servers(setup, &[names])?,
            };
            (condition, term)
        }
        ("quota-at-least", [names, least, term]) => {
            let condition = Condition::QuotaBetween {
                who: servers(setup, &[names])?,
                least: number(least)?,
                most: u32::MAX,
            };
            (condition, term)
        }
        ("quota-at-most", [names, most, term]) => {
            let condition = Condition::QuotaBetween {
                who: servers(setup, &[names])?,
                least: 0,
                most: number(most)?,
            };
            (condition, term)
        }
        ("in-flight-at-least", [names @ .., least, term]) => {
            let condition = Condition::InFlightAtLeast {
                who: servers(setup, names)?,
                least: number(least)?,
            };
            (condition, term)
        }
        _ => return Err(malformed(keyword)),
    };
    Ok(Step::Within(condition, time(term)?))
}

/// Returns the error for a line with an unknown keyword, or with the wrong arguments for its
/// keyword.
fn malformed(keyword: &str) -> Unexpected {
    let form = match keyword {
        "servers" => "servers N",
        "start" => "start SERVERS",
        "kill" => "kill SERVERS",
        "stop" => "stop SERVERS",
        "continue" => "continue SERVERS",
        "drain" => "drain SERVERS",
        "partition" => "partition SERVERS | SERVERS ...",
        "zone" => "zone ZONE SERVERS",
        "demand" => "demand SERVERS N",
        "capacity" => "capacity SERVERS N",
        "oneway" => "oneway SERVER > SERVERS",
        "heal" => "heal",
        "loss" => "loss FRACTION",
        "duplicate" => "duplicate FRACTION",
        "corrupt" => "corrupt FRACTION",
        "delay" => "delay TIME TIME",
        "calm" => "calm",
        "replay" => "replay SERVER",
        "peak" => "peak N",
        "for" => "for TIME",
        "downs" => "downs N",
        "settle" => "settle TERM",
        "view" => "view GROUP SERVER STATE TERM",
        "connectivity" => "connectivity GROUP WORD TERM",
        "quota-at-least" => "quota-at-least GROUP N TERM",
        "quota-at-most" => "quota-at-most GROUP N TERM",
        "in-flight-at-least" => "in-flight-at-least SERVERS N TERM",
        _ => return unexpected(keyword, Expected::Keyword),
    };
    unexpected(keyword, Expected::Line(form))
}
