//! Settings that the server's tests share.

/// `search` may run more than once and skip its call, `quote` makes no call, and `book` runs once within its window.
pub(crate) const SETTINGS: &str = r#"{"classes": [
 {"name": "search", "aim_us": 4000000, "hard_limit_us": 8000000, "importance": 1.0, "effect": "read_like"},
 {"name": "quote", "aim_us": 2000000, "hard_limit_us": 8000000, "importance": 1.0, "effect": "read_like"},
 {"name": "book", "aim_us": 3000000, "hard_limit_us": 8000000, "importance": 3.0, "effect": "idempotency_key",
  "repeat_window_us": 10000000}],
 "tenants": [{"name": "acme", "allowance_per_s": 50.0}, {"name": "zenith", "allowance_per_s": 50.0}],
 "family_info": {"n_cores": 4, "memory_kb": 4000.0, "blowup": 4.0, "key_kb": 2.0, "preemption": "freeze",
  "below": "one_for_all", "dep_share": 8.0, "share_span_us": 5000000, "linger_us": 200000,
  "class_calls": [true, false, true], "class_skip_worth": [0.6, 0.0, 0.0], "passes_deadline": true,
  "readiness": true, "say": "allowance", "upstreams": 2, "keepalive_max_us": 30000000,
  "meters": ["core_use", "on_cores", "heap_share", "links"]},
 "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
 "rules": {"tip_multiple": 5.0, "drain_grace_us": 2000000}, "servers": 3}"#;
