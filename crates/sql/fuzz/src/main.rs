//! Reads any bytes as a statement. Checks that nothing panics, that literals lie within the text, that the shape of a shape
//! is the shape itself with the same effect, and that appending a write makes the text a write.
#![no_main]

use libfuzzer_sys::fuzz_target;
use sillfold_sql::{Effect, Functions, ParseLimits, StatementReader, analyze};
use std::sync::LazyLock;

static FUNCTIONS: LazyLock<Functions> = LazyLock::new(Functions::default);

fuzz_target!(|bytes: &[u8]| {
    let mut reader = StatementReader::default();
    let Ok(text) = reader.read_bytes(bytes) else { return };
    let limits = ParseLimits::default();
    let first_analysis = analyze(reader.shape(), &FUNCTIONS, &limits);
    let (shape, literals, ambiguous) =
        (reader.shape().to_string(), reader.literals().to_vec(), reader.quoting_is_ambiguous());
    assert!(literals.iter().all(|l| text.get(l.span.clone()).is_some_and(|t| !t.is_empty())));
    assert!(first_analysis.keys.iter().all(|k| usize::from(k.literal_index) < literals.len()), "{shape}");
    reader.read(&shape).expect("a shape is a statement");
    assert_eq!(reader.shape(), shape);
    assert_eq!(reader.literals().len(), literals.len());
    assert_eq!(analyze(reader.shape(), &FUNCTIONS, &limits).effect, first_analysis.effect);
    if !ambiguous {
        let with_write = format!("{text}\n; DELETE FROM t");
        if reader.read(&with_write).is_ok() {
            let analysis = analyze(reader.shape(), &FUNCTIONS, &limits);
            assert!(analysis.effect >= Effect::Write, "{with_write}: {}", analysis.reason);
        }
    }
});
