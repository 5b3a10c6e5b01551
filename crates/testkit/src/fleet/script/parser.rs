//! Parses scripts; the module page of [`super`] has the grammar. Lines are read one after the
//! other, because setup lines apply to those below them.

use super::error::{Expected, ScriptError};
use super::{Action, Condition, FleetSetup, QuotaSetup, Script, Step};
use madderbay::time::Duration;
use madderbay_membership::{Connectivity, MemberState};
use std::str::FromStr;

const STATES: [MemberState; 6] = [
    MemberState::Joining,
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Draining,
    MemberState::Down,
    MemberState::Left,
];
const CONNECTIVITIES: [Connectivity; 3] = [
    Connectivity::Complete,
    Connectivity::Partial,
    Connectivity::Isolated,
];

/// A word that was not understood, without its place.
struct Unexpected {
    word: String,
    expected: Expected,
}

fn unexpected(word: &str, expected: Expected) -> Unexpected {
    Unexpected {
        word: word.into(),
        expected,
    }
}

type Parsed<T> = Result<T, Unexpected>;

impl Script {
    /// Parses a script; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// The first word that is not understood, with its line.
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

/// Parses a line: setup changes what is given, and everything else makes steps.
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
                set(setup, assignment)?;
            }
        }
        [keyword, ref arguments @ ..] => return parse_step(setup, keyword, arguments),
    }
    Ok(vec![])
}

fn set(setup: &mut FleetSetup, assignment: &str) -> Parsed<()> {
    let (key, value) = assignment
        .split_once('=')
        .ok_or_else(|| unexpected(assignment, Expected::Assignment))?;
    match key {
        "memory" => setup.memory = time(value)?,
        "suspicion" => setup.suspicion = time(value)?,
        "probe" => setup.probe = time(value)?,
        "most" => setup.most = number(value)?,
        "join" => {
            let names = value.split(',');
            setup.join = names
                .map(|name| server(setup, name))
                .collect::<Parsed<_>>()?;
        }
        "window" => setup.window = Some(time(value)?),
        "budget" => setup.budget = Some(QuotaSetup::of(number(value)?, setup.servers)),
        _ => {
            let budget = setup
                .budget
                .as_mut()
                .ok_or_else(|| unexpected(key, Expected::Key))?;
            set_of_budget(budget, key, value)?;
        }
    }
    Ok(())
}

fn set_of_budget(budget: &mut QuotaSetup, key: &str, value: &str) -> Parsed<()> {
    match key {
        "servers" => budget.servers = number(value)?,
        "seats" => budget.slots = value == "on",
        "lease" => budget.lease = time(value)?,
        "longest" => budget.max_call = time(value)?,
        "call" => budget.call = time(value)?,
        _ => return Err(unexpected(key, Expected::Key)),
    }
    Ok(())
}

/// Parses an action or a condition; an action on several servers makes a step for each.
fn parse_step(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Vec<Step>> {
    match keyword {
        "start" => parse_start(setup, arguments),
        "kill" => each(setup, arguments, Action::Kill),
        "stop" => each(setup, arguments, Action::Stop),
        "continue" => each(setup, arguments, Action::Continue),
        "drain" => each(setup, arguments, Action::Drain),
        "demand" | "budget" => parse_amount(setup, keyword, arguments),
        "settle" | "sees" | "hears" | "has" | "spares" | "uses" => {
            Ok(vec![parse_condition(setup, keyword, arguments)?])
        }
        "loss" | "double" | "spoil" | "delay" | "calm" => {
            Ok(vec![Step::Action(parse_network(keyword, arguments)?)])
        }
        _ => Ok(vec![Step::Action(parse_action(setup, keyword, arguments)?)]),
    }
}

/// One action for each of these servers.
fn each(setup: &FleetSetup, names: &[&str], action: impl Fn(usize) -> Action) -> Parsed<Vec<Step>> {
    let servers = servers(setup, names)?;
    Ok(servers
        .into_iter()
        .map(|server| Step::Action(action(server)))
        .collect())
}

fn parse_start(setup: &FleetSetup, arguments: &[&str]) -> Parsed<Vec<Step>> {
    let (mut names, mut clock, mut back) = (arguments, Duration::ZERO, false);
    if let [others @ .., last] = arguments
        && let Some(offset) = last.strip_prefix("clock=")
    {
        names = others;
        back = offset.starts_with('-');
        clock = time(offset.trim_start_matches('-'))?;
    }
    each(setup, names, |who| Action::Start {
        who,
        name: who,
        clock,
        back,
    })
}

/// Parses `demand` and `budget`, which have servers and a number.
fn parse_amount(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Vec<Step>> {
    let [names @ .., amount] = arguments else {
        let form = match keyword {
            "demand" => "demand SERVERS N",
            _ => "budget SERVERS N",
        };
        return Err(unexpected(keyword, Expected::Line(form)));
    };
    let amount = number(amount)?;
    match keyword {
        "demand" => each(setup, names, |server| Action::Demand(server, amount)),
        _ => each(setup, names, |server| Action::Budget {
            server,
            capacity: amount,
        }),
    }
}

/// Parses the actions that are not for each of several servers.
fn parse_action(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Action> {
    let form = match (keyword, arguments) {
        ("namesake", [who, of]) => {
            return Ok(Action::Start {
                who: server(setup, who)?,
                name: server(setup, of)?,
                clock: Duration::ZERO,
                back: false,
            });
        }
        ("cut", groups) => {
            let groups = groups.split(|word| *word == "|");
            let groups = groups.map(|names| servers(setup, names));
            return Ok(Action::Cut(groups.collect::<Parsed<_>>()?));
        }
        ("oneway", [from, ">", to @ ..]) => {
            return Ok(Action::OneWay(server(setup, from)?, servers(setup, to)?));
        }
        ("heal", []) => return Ok(Action::Heal),
        ("replay", [to]) => return Ok(Action::Replay(server(setup, to)?)),
        ("peak", [most]) => return Ok(Action::Peak(number(most)?)),
        ("for", [duration]) => return Ok(Action::For(time(duration)?)),
        ("downs", [most]) => return Ok(Action::Downs(number(most)?)),
        ("servers", _) => "servers N",
        ("zone", _) => "zone ZONE SERVERS",
        ("namesake", _) => "namesake SERVER SERVER",
        ("oneway", _) => "oneway SERVER > SERVERS",
        ("heal", _) => "heal",
        ("replay", _) => "replay SERVER",
        ("peak", _) => "peak N",
        ("for", _) => "for TIME",
        ("downs", _) => "downs N",
        _ => return Err(unexpected(keyword, Expected::Keyword)),
    };
    Err(unexpected(keyword, Expected::Line(form)))
}

/// Parses a fault of the network; of the other faults it says nothing.
fn parse_network(keyword: &str, arguments: &[&str]) -> Parsed<Action> {
    let (mut loss, mut double, mut spoil, mut delay) = (None, None, None, None);
    match (keyword, arguments) {
        ("loss", _) => loss = Some(part(keyword, arguments)?),
        ("double", _) => double = Some(part(keyword, arguments)?),
        ("spoil", _) => spoil = Some(part(keyword, arguments)?),
        ("delay", [least, most]) => delay = Some((time(least)?, time(most)?)),
        ("calm", []) => {}
        ("delay", _) => return Err(unexpected(keyword, Expected::Line("delay TIME TIME"))),
        _ => return Err(unexpected(keyword, Expected::Line("calm"))),
    }
    Ok(Action::Network {
        loss,
        double,
        spoil,
        delay,
    })
}

fn parse_condition(setup: &FleetSetup, keyword: &str, arguments: &[&str]) -> Parsed<Step> {
    let (condition, term) = match (keyword, arguments) {
        ("settle", [term]) => (Condition::Settled, term),
        ("sees", [who, of, state, term]) => {
            let state = state_of(state)?;
            let (who, of) = (servers(setup, &[who])?, server(setup, of)?);
            (Condition::Sees { who, of, state }, term)
        }
        ("hears", [who, hears, term]) => {
            let hears = connectivity(hears)?;
            let who = servers(setup, &[who])?;
            (Condition::Hears { who, hears }, term)
        }
        ("has", [who, least, term]) => {
            let (who, least) = (servers(setup, &[who])?, number(least)?);
            let most = u32::MAX;
            (Condition::Has { who, least, most }, term)
        }
        ("spares", [who, most, term]) => {
            let (who, most) = (servers(setup, &[who])?, number(most)?);
            let least = 0;
            (Condition::Has { who, least, most }, term)
        }
        ("uses", [who @ .., least, term]) => {
            let (who, least) = (servers(setup, who)?, number(least)?);
            (Condition::Uses { who, least }, term)
        }
        _ => {
            let form = match keyword {
                "settle" => "settle TERM",
                "sees" => "sees SERVERS SERVER STATE TERM",
                "hears" => "hears SERVERS WORD TERM",
                "has" => "has SERVERS N TERM",
                "spares" => "spares SERVERS N TERM",
                _ => "uses SERVERS N TERM",
            };
            return Err(unexpected(keyword, Expected::Line(form)));
        }
    };
    Ok(Step::Within(condition, time(term)?))
}

fn time(word: &str) -> Parsed<Duration> {
    let (number, unit_secs) = match (word.strip_suffix("ms"), word.strip_suffix('s')) {
        (Some(number), _) => (number, 0.001),
        (None, Some(number)) => (number, 1.0),
        (None, None) => return Err(unexpected(word, Expected::Time)),
    };
    let number: f64 = number
        .parse()
        .map_err(|_| unexpected(word, Expected::Time))?;
    Ok(Duration::from_secs_f64(number * unit_secs))
}

fn number<T: FromStr>(word: &str) -> Parsed<T> {
    word.parse().map_err(|_| unexpected(word, Expected::Number))
}

/// The first argument as a part from 0 to 1.
fn part(keyword: &str, arguments: &[&str]) -> Parsed<f64> {
    let word = arguments.first().copied().unwrap_or(keyword);
    word.parse()
        .ok()
        .filter(|part| (0.0..=1.0).contains(part))
        .ok_or_else(|| unexpected(word, Expected::Part))
}

/// A state, or `None` for a member that is not known.
fn state_of(word: &str) -> Parsed<Option<MemberState>> {
    if word == "unknown" {
        return Ok(None);
    }
    let state = STATES.into_iter().find(|state| state.to_string() == word);
    match state {
        Some(_) => Ok(state),
        None => Err(unexpected(word, Expected::State)),
    }
}

fn connectivity(word: &str) -> Parsed<Connectivity> {
    CONNECTIVITIES
        .into_iter()
        .find(|connectivity| connectivity.to_string() == word)
        .ok_or_else(|| unexpected(word, Expected::Connectivity))
}

/// The index of a server by its name.
fn server(setup: &FleetSetup, word: &str) -> Parsed<usize> {
    word.strip_prefix('n')
        .and_then(|number| number.parse::<usize>().ok())
        .filter(|number| (1..=setup.servers).contains(number))
        .map(|number| number - 1)
        .ok_or_else(|| unexpected(word, Expected::Server))
}

/// The indices of servers by their names and zones, or of all.
fn servers(setup: &FleetSetup, words: &[&str]) -> Parsed<Vec<usize>> {
    let mut found = vec![];
    for word in words {
        if *word == "all" {
            found.extend(0..setup.servers);
        } else if setup.zones.iter().any(|zone| zone == word) {
            found.extend((0..setup.servers).filter(|server| setup.zones[*server] == *word));
        } else {
            found.push(server(setup, word)?);
        }
    }
    Ok(found)
}
