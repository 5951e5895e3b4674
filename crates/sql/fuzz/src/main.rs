//! Any bytes as a statement: no panic, slots within the text, a shape that reads as itself with the same verdict,
//! and a write behind it that stays one.
#![no_main]

use libfuzzer_sys::fuzz_target;
use sillfold_sql::{ParseLimits, Effect, Functions, StatementReader, analyze};
use std::sync::LazyLock;

static FUNCTIONS: LazyLock<Functions> = LazyLock::new(Functions::default);

fuzz_target!(|bytes: &[u8]| {
    let mut reading = StatementReader::default();
    let Ok(text) = reading.read_bytes(bytes) else { return };
    let bounds = ParseLimits::default();
    let first = analyze(reading.shape(), &FUNCTIONS, &bounds);
    let (shape, slots, unsure) = (reading.shape().to_string(), reading.literals().to_vec(), reading.quoting_is_ambiguous());
    assert!(slots.iter().all(|s| text.get(s.span.clone()).is_some_and(|t| !t.is_empty())));
    assert!(first.keys.iter().all(|k| usize::from(k.literal_index) < slots.len()), "{shape}");
    reading.read(&shape).expect("a shape is a statement");
    assert_eq!(reading.shape(), shape);
    assert_eq!(reading.literals().len(), slots.len());
    assert_eq!(analyze(reading.shape(), &FUNCTIONS, &bounds).effect, first.effect);
    if !unsure {
        let more = format!("{text}\n; DELETE FROM t");
        if reading.read(&more).is_ok() {
            let both = analyze(reading.shape(), &FUNCTIONS, &bounds);
            assert!(both.effect >= Effect::Write, "{more}: {}", both.reason);
        }
    }
});
