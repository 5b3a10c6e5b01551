//! The requests of the simulated clients, and the settings of the servers.

use madderbay::interface::HandlerId;
use madderbay::time::Duration;
use madderbay_settings::Settings;
use oorandom::Rand64;

/// Cores of each server's engine. The settings below have the same number.
pub(crate) const ENGINE_CORES: f64 = 2.0;
/// Clients give up on a request after this time.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The longest time that a server waits for an upstream call.
pub(crate) const MAX_CALL_TIME: Duration = Duration::from_millis(1_500);
/// Bytes of results that a server caches for retries.
pub(crate) const RESULT_CACHE_BYTES: usize = 1 << 20;

/// The settings of every server. `SERVERS` is replaced by the number of servers.
const SETTINGS: &str = r#"{"classes": [
 {"name": "search", "aim_us": 2000000, "hard_limit_us": 4000000, "importance": 1.0, "effect": "read_like"},
 {"name": "quote", "aim_us": 1500000, "hard_limit_us": 4000000, "importance": 1.0, "effect": "read_like"},
 {"name": "book", "aim_us": 3000000, "hard_limit_us": 4000000, "importance": 3.0, "effect": "idempotency_key",
  "repeat_window_us": 10000000}],
 "tenants": [{"name": "acme", "allowance_per_s": 5000.0}],
 "family_info": {"n_cores": 2, "memory_kb": 40000.0, "blowup": 4.0, "key_kb": 2.0, "preemption": "freeze",
  "below": "one_for_all", "dep_share": 24.0, "share_span_us": 5000000, "linger_us": 0,
  "class_calls": [true, false, true], "class_skip_worth": [0.6, 0.0, 0.0], "passes_deadline": true,
  "readiness": true, "say": "allowance", "upstreams": 2, "keepalive_max_us": 30000000,
  "meters": ["core_use", "on_cores", "heap_share", "links"]},
 "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
 "rules": {"tip_multiple": 20.0, "drain_grace_us": 2000000}, "servers": SERVERS}"#;

/// Returns the settings of the servers in a fleet of `servers`.
pub(crate) fn settings(servers: usize) -> Settings {
    let text = SETTINGS.replace("SERVERS", &servers.to_string());
    madderbay_settings::read(text.as_bytes()).expect("the simulation's own settings are valid")
}

/// The handlers of the simulated servers, one for each kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handler {
    /// May run more than once, and its upstream call is optional.
    Search,
    /// Makes no upstream call.
    Quote,
    /// Has an idempotency key, and must run and call upstream only once.
    Booking,
}

impl Handler {
    /// The number of handlers.
    pub const COUNT: usize = 3;

    /// All handlers, in the order of the settings.
    pub const ALL: [Handler; Handler::COUNT] = [Handler::Search, Handler::Quote, Handler::Booking];

    /// The handlers that make an upstream call.
    pub(crate) const CALLING_UPSTREAM: [HandlerId; 2] =
        [Handler::Search.id(), Handler::Booking.id()];

    /// Returns the index of the handler in the settings and in the counts of a [`SecondRow`](crate::SecondRow).
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the id of the handler in the server's modules.
    pub(crate) const fn id(self) -> HandlerId {
        HandlerId::new(self.index())
    }

    /// Returns the name of the handler in requests.
    pub const fn name(self) -> &'static str {
        match self {
            Handler::Search => "search",
            Handler::Quote => "quote",
            Handler::Booking => "book",
        }
    }

    pub(crate) fn from_name(name: &str) -> Option<Handler> {
        Handler::ALL
            .into_iter()
            .find(|handler| handler.name() == name)
    }

    pub(crate) fn calls_upstream(self) -> bool {
        self != Handler::Quote
    }

    pub(crate) fn has_idempotency_key(self) -> bool {
        self == Handler::Booking
    }

    /// Returns the fraction of all requests that are for this handler.
    fn fraction_of_requests(self) -> f64 {
        match self {
            Handler::Search => 0.35,
            Handler::Quote => 0.4,
            Handler::Booking => 0.25,
        }
    }

    fn mean_work_ms(self) -> f64 {
        match self {
            Handler::Search | Handler::Booking => 12.0,
            Handler::Quote => 6.0,
        }
    }

    /// Draws the handler of a request at random.
    pub(crate) fn draw(random: &mut Rand64) -> Handler {
        let mut remaining_fraction = random.rand_float();
        let is_picked = |handler: &Handler| {
            remaining_fraction -= handler.fraction_of_requests();
            remaining_fraction < 0.0
        };
        let picked = Handler::ALL.into_iter().find(is_picked);
        picked.unwrap_or(Handler::Booking)
    }

    /// Draws the work of a run at random, in core seconds.
    pub(crate) fn draw_work_s(self, random: &mut Rand64) -> f64 {
        self.mean_work_ms() / 1e3 * (0.5 + random.rand_float())
    }
}

/// A request as its client sends it.
pub(crate) struct ClientRequest<'a> {
    /// The JSON-RPC id, which the answer repeats.
    pub(crate) id: u64,
    pub(crate) handler: Handler,
    /// Identifies the request at the engine and the backends; 16 hexadecimal digits.
    pub(crate) reference: &'a str,
    pub(crate) sent_unix_ms: u64,
}

impl ClientRequest<'_> {
    /// Formats the request as the line that the client sends.
    pub(crate) fn to_line(&self) -> String {
        let ClientRequest { id, reference, .. } = self;
        let key = if self.handler.has_idempotency_key() {
            format!("\"replay\":\"{reference}{reference}\",")
        } else {
            String::new()
        };
        format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"ref\":\"{reference}\",\"since\":{},\
             \"sender\":4,\"project\":\"acme\",\"allow\":{},{key}\"room\":2.5,\"bytes\":\"QUJD\"}}}}\n",
            self.handler.name(),
            self.sent_unix_ms,
            CLIENT_TIMEOUT.as_millis()
        )
    }
}
