//! Any bytes as a statement: no panic, slots within the text, a shape that reads as itself with the same verdict,
//! and a write behind it that stays one.
#![no_main]

use libfuzzer_sys::fuzz_target;
use sillfold_sql::{Bounds, Effect, Functions, Reading, judge};
use std::sync::LazyLock;

static FUNCTIONS: LazyLock<Functions> = LazyLock::new(Functions::default);

fuzz_target!(|bytes: &[u8]| {
    let mut reading = Reading::default();
    let Ok(text) = reading.read_bytes(bytes) else { return };
    let bounds = Bounds::default();
    let first = judge(reading.shape(), &FUNCTIONS, &bounds);
    let (shape, slots, unsure) = (reading.shape().to_string(), reading.slots().to_vec(), reading.unsure());
    assert!(slots.iter().all(|s| text.get(s.at.clone()).is_some_and(|t| !t.is_empty())));
    assert!(first.keys.iter().all(|k| usize::from(k.slot) < slots.len()), "{shape}");
    reading.read(&shape).expect("a shape is a statement");
    assert_eq!(reading.shape(), shape);
    assert_eq!(reading.slots().len(), slots.len());
    assert_eq!(judge(reading.shape(), &FUNCTIONS, &bounds).effect, first.effect);
    if !unsure {
        let more = format!("{text}\n; DELETE FROM t");
        if reading.read(&more).is_ok() {
            let both = judge(reading.shape(), &FUNCTIONS, &bounds);
            assert!(both.effect >= Effect::Write, "{more}: {}", both.why);
        }
    }
});
