//! Reads and validates JSON5 configuration files: a file is accepted with all of its values, or rejected as a whole.
//! Each error message names the file, the line and column, and the key.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use garde::Validate;
use serde::Deserializer;
use serde::de::{DeserializeOwned, DeserializeSeed, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;
use std::path::Path;

/// The largest file that is read: 16 MiB.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Reads a file as text; the error names the file.
pub fn read_text(path: &Path) -> Result<String, String> {
    let text = std::fs::metadata(path).and_then(|metadata| match metadata.len() {
        0..=MAX_FILE_BYTES => std::fs::read_to_string(path),
        n => Err(std::io::Error::other(format!("{n} bytes; the most is {MAX_FILE_BYTES}"))),
    });
    text.map_err(|e| format!("{}: {e}", path.display()))
}

/// A type of configuration file: it can be deserialized and validated.
pub trait Configuration: DeserializeOwned + Validate<Context = ()> {}

impl<T: DeserializeOwned + Validate<Context = ()>> Configuration for T {}

/// Parses and validates a text; each error message begins with `name`.
pub fn parse<T: Configuration>(name: &str, text: &str) -> Result<T, Vec<String>> {
    let value: T = deserialize_text(text).map_err(|(key, place, message)| {
        let key = if key == "." { String::new() } else { format!("{key}: ") };
        vec![format!("{name}:{place}: {key}{message}")]
    })?;
    match value.validate() {
        Ok(()) => Ok(value),
        Err(report) => {
            let lines = report.iter().map(|(path, error)| {
                let key = path.to_string();
                format!("{name}:{}: {key}: {error}", locate(text, &key))
            });
            Err(lines.collect())
        }
    }
}

/// Deserializes a text; the error holds the key, the line and column, and the parser's message.
fn deserialize_text<T: DeserializeOwned>(text: &str) -> Result<T, (String, String, String)> {
    let mut track = serde_path_to_error::Track::new();
    let mut de = json5::Deserializer::from_str(text);
    let tracked = serde_path_to_error::Deserializer::new(&mut de, &mut track);
    // A second pass over the whole text finds characters after the value, which the first pass doesn't read.
    let value = T::deserialize(tracked).and_then(|v| json5::from_str::<IgnoredAny>(text).map(|_| v));
    value.map_err(|e| {
        let place = e.position().map_or("1:1".into(), |p| format!("{}:{}", p.line + 1, p.column + 1));
        let message = e.to_string();
        // Drops the place from the parser's message, since this crate's own message begins with it.
        let error = message.rsplit_once(" at line ").map_or(message.as_str(), |parts| parts.0).to_string();
        (track.path().to_string(), place, error)
    })
}

/// The line and column of a key's value in a valid text, or those of the nearest enclosing key if the key is absent.
pub fn locate(text: &str, key: &str) -> String {
    let steps: Vec<&str> = key.split(['.', '[', ']']).filter(|s| !s.is_empty()).collect();
    for depth in (0..=steps.len()).rev() {
        let mut de = json5::Deserializer::from_str(text);
        if let Err(e) = (FindValue { steps: &steps[..depth] }).deserialize(&mut de)
            && let (Some(p), true) = (e.position(), e.to_string().starts_with(FOUND))
        {
            return format!("{}:{}", p.line + 1, p.column + 1);
        }
    }
    "1:1".to_string()
}

/// The error message by which `FindValue` reports that it has reached the value.
const FOUND: &str = "the value that is looked for";

/// Descends along the steps of a key to its value, and fails there on purpose: the parser's error holds the position.
#[derive(Clone, Copy)]
struct FindValue<'s> {
    steps: &'s [&'s str],
}

impl<'de> DeserializeSeed<'de> for FindValue<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for FindValue<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value on the way")
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.steps.split_first() else { return Err(A::Error::custom(FOUND)) };
        while let Some(key) = map.next_key::<String>()? {
            if key == *step {
                map.next_value_seed(FindValue { steps: rest })?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.steps.split_first() else { return Err(A::Error::custom(FOUND)) };
        let mut to_skip = step.parse::<usize>().unwrap_or(usize::MAX);
        loop {
            if to_skip == 0 {
                return seq.next_element_seed(FindValue { steps: rest }).map(|_| ());
            }
            to_skip -= 1;
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
    }
    fn visit_bool<E: serde::de::Error>(self, _: bool) -> Result<(), E> {
        Err(E::custom(FOUND))
    }
    fn visit_i64<E: serde::de::Error>(self, _: i64) -> Result<(), E> {
        Err(E::custom(FOUND))
    }
    fn visit_u64<E: serde::de::Error>(self, _: u64) -> Result<(), E> {
        Err(E::custom(FOUND))
    }
    fn visit_f64<E: serde::de::Error>(self, _: f64) -> Result<(), E> {
        Err(E::custom(FOUND))
    }
    fn visit_str<E: serde::de::Error>(self, _: &str) -> Result<(), E> {
        Err(E::custom(FOUND))
    }
    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        Err(E::custom(FOUND))
    }
}
