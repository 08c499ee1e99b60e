//! Durations in settings: a number with its unit.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::time::Duration;

/// A duration with its unit, such as `"250ms"` or `"2s"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl Span {
    pub const fn from_millis(ms: u64) -> Span {
        Span(Duration::from_millis(ms))
    }
    pub fn seconds(self) -> f64 {
        self.0.as_secs_f64()
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Span, D::Error> {
        struct Visitor;
        impl de::Visitor<'_> for Visitor {
            type Value = Span;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a duration with its unit, such as \"250ms\" or \"2s\"")
            }
            fn visit_str<E: de::Error>(self, text: &str) -> Result<Span, E> {
                let parsed = humantime::parse_duration(text);
                parsed.map(Span).map_err(|_| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        input.deserialize_any(Visitor)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        output.collect_str(&humantime::format_duration(self.0))
    }
}

impl JsonSchema for Span {
    fn schema_name() -> Cow<'static, str> {
        "Span".into()
    }
    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "description": "a duration with its unit, such as 250ms or 2s",
            "pattern": "^[0-9]+ ?(ns|us|ms|s|m|h|d)",
        })
    }
}
