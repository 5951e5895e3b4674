//! Reads JSON5 configuration files and validates them whole: a file is accepted with all of its values or rejected.
//! Each error message names the file, the line and column, and the key.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use garde::Validate;
use serde::Deserializer;
use serde::de::{DeserializeOwned, DeserializeSeed, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;
use std::path::Path;

/// The longest file that is read, in bytes.
const MOST_BYTES: u64 = 16 << 20;

/// Reads a file as text; the error names the file.
pub fn read_text(path: &Path) -> Result<String, String> {
    let text = std::fs::metadata(path).and_then(|m| match m.len() {
        0..=MOST_BYTES => std::fs::read_to_string(path),
        n => Err(std::io::Error::other(format!("{n} bytes; the most is {MOST_BYTES}"))),
    });
    text.map_err(|e| format!("{}: {e}", path.display()))
}

/// A type of configuration file: it can be deserialized and validated.
pub trait Configuration: DeserializeOwned + Validate<Context = ()> {}

impl<T: DeserializeOwned + Validate<Context = ()>> Configuration for T {}

/// Parses and validates a text; each error message begins with `name`.
pub fn parse<T: Configuration>(name: &str, text: &str) -> Result<T, Vec<String>> {
    let value: T = read(text).map_err(|(key, place, what)| {
        let key = if key == "." { String::new() } else { format!("{key}: ") };
        vec![format!("{name}:{place}: {key}{what}")]
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

/// Reads a text whole; the error is the key, the place and what is wrong there.
fn read<T: DeserializeOwned>(text: &str) -> Result<T, (String, String, String)> {
    let mut track = serde_path_to_error::Track::new();
    let mut de = json5::Deserializer::from_str(text);
    let tracked = serde_path_to_error::Deserializer::new(&mut de, &mut track);
    // What stands behind the value shows only in a reading of all.
    let found = T::deserialize(tracked).and_then(|f| json5::from_str::<IgnoredAny>(text).map(|_| f));
    found.map_err(|e| {
        let place = e.position().map_or("1:1".into(), |p| format!("{}:{}", p.line + 1, p.column + 1));
        let whole = e.to_string();
        // The place leads the message already.
        let what = whole.rsplit_once(" at line ").map_or(whole.as_str(), |w| w.0).to_string();
        (track.path().to_string(), place, what)
    })
}

/// The line and column of a key's value in a text that parses; those of the nearest enclosing key if it is absent.
pub fn locate(text: &str, key: &str) -> String {
    let steps: Vec<&str> = key.split(['.', '[', ']']).filter(|s| !s.is_empty()).collect();
    for length in (0..=steps.len()).rev() {
        let mut de = json5::Deserializer::from_str(text);
        if let Err(e) = (Seek { steps: &steps[..length] }).deserialize(&mut de)
            && let (Some(p), true) = (e.position(), e.to_string().starts_with(HERE))
        {
            return format!("{}:{}", p.line + 1, p.column + 1);
        }
    }
    "1:1".to_string()
}

/// How a search says that it is there.
const HERE: &str = "the value that is looked for";

/// Goes down to a value and fails there: the parser then tells the place.
#[derive(Clone, Copy)]
struct Seek<'s> {
    steps: &'s [&'s str],
}

impl<'de> DeserializeSeed<'de> for Seek<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seek<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value on the way")
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.steps.split_first() else { return Err(A::Error::custom(HERE)) };
        while let Some(key) = map.next_key::<String>()? {
            if key == *step {
                map.next_value_seed(Seek { steps: rest })?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((step, rest)) = self.steps.split_first() else { return Err(A::Error::custom(HERE)) };
        let mut left = step.parse::<usize>().unwrap_or(usize::MAX);
        loop {
            if left == 0 {
                return seq.next_element_seed(Seek { steps: rest }).map(|_| ());
            }
            left -= 1;
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
    }
    fn visit_bool<E: serde::de::Error>(self, _: bool) -> Result<(), E> {
        Err(E::custom(HERE))
    }
    fn visit_i64<E: serde::de::Error>(self, _: i64) -> Result<(), E> {
        Err(E::custom(HERE))
    }
    fn visit_u64<E: serde::de::Error>(self, _: u64) -> Result<(), E> {
        Err(E::custom(HERE))
    }
    fn visit_f64<E: serde::de::Error>(self, _: f64) -> Result<(), E> {
        Err(E::custom(HERE))
    }
    fn visit_str<E: serde::de::Error>(self, _: &str) -> Result<(), E> {
        Err(E::custom(HERE))
    }
    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        Err(E::custom(HERE))
    }
}
