//! What a capture holds after what happened to it.

use sillfold_capture::*;

fn whole() -> Vec<u8> {
    let header = Header { sillfold_capture: VERSION, name: "n0".into(), started_ms: 5, sample: 1 };
    let mut recorder = Recorder::new(vec!["browse".into(), "ingest".into()], 1);
    let mut text = encode_line(&header).expect("a line");
    for i in 0..4 {
        for n in 0..100 {
            recorder.request_arrived(0, 3, if n % 2 == 0 { 2_000 } else { 0 });
            recorder.attempt_ended(
                0,
                3,
                if n < 5 { RecordedOutcome::Unsuitable } else { RecordedOutcome::Served(40_000) },
            );
            recorder.shape_served(7, 40_000);
        }
        recorder.request_arrived(1, 4, 0);
        recorder.attempt_ended(1, 4, RecordedOutcome::Other);
        recorder.request_unserved(1, 4, i % 2 == 0);
        text += &encode_line(&recorder.take_record(1_000 * i, 1_000)).expect("a line");
    }
    text.into_bytes()
}

#[test]
fn what_was_recorded_is_read_again_and_summed_up() {
    let (capture, fault) = parse(&whole()).expect("a capture");
    assert_eq!((fault, capture.records.len(), capture.header.name.as_str()), (None, 4, "n0"));
    let sum = capture.summary();
    let browse = &sum.classes["browse"];
    assert_eq!((browse.arrived, browse.samples, sum.seconds), (400, 380, 4.0));
    assert!((browse.missed - 0.05).abs() < 1e-9 && (browse.tries - 1.0).abs() < 1e-9);
    assert!((browse.mean_us / 40_000.0 - 1.0).abs() < 0.1 && browse.cv2 < 0.01, "{browse:?}");
    assert_eq!((sum.classes["ingest"].unserved, sum.groups[&3], sum.groups[&4]), (1.0, 400, 4));
    // One in eight is looked at, and counts for eight.
    let (name, count, us) = &sum.shapes[0];
    assert!(name == "0000000000000007" && (320..=480).contains(count) && *us == 40_000.0, "{:?}", sum.shapes);
    assert_eq!(capture.records[0].cells[0].expected, (50, 100_000));
}

#[test]
fn a_file_cut_at_any_byte_loses_nothing_before_the_tear_and_says_where_it_is() {
    let bytes = whole();
    let ends: Vec<usize> = bytes.iter().enumerate().filter(|b| *b.1 == b'\n').map(|b| b.0 + 1).collect();
    for cut in 0..bytes.len() {
        let kept = ends.iter().filter(|&&e| e <= cut).count();
        match parse(&bytes[..cut]) {
            // Whole but for its line's end: nothing of it is lost either.
            Ok((capture, fault)) => {
                let records = capture.records.len() + 1;
                assert!(records == kept || records == kept + 1, "{records} of {kept} at {cut}");
                assert_eq!(fault.is_none(), ends.contains(&cut), "at {cut}");
                assert!(fault.is_none_or(|f| f.line == kept + 1 || f.line == kept), "at {cut}");
            }
            Err(fault) => assert!(kept == 0 && fault.line == 1, "at {cut}: {fault}"),
        }
    }
}

#[test]
fn a_changed_byte_is_noticed_and_what_is_foreign_is_no_capture() {
    let bytes = whole();
    let second = bytes.iter().position(|&b| b == b'\n').expect("a line") + 1;
    for at in (second..bytes.len()).step_by(7).filter(|&at| bytes[at] != b'\n') {
        let mut changed = bytes.clone();
        changed[at] ^= 4;
        let (capture, fault) = parse(&changed).expect("its head is whole");
        let line = bytes[..at].iter().filter(|&&b| b == b'\n').count() + 1;
        // A checksum's digit may be another that says the same.
        let same = capture.records == parse(&bytes).expect("whole").0.records;
        assert!(
            same || fault.is_some_and(|f| f.line == line && capture.records.len() == line - 2),
            "at {at}"
        );
    }
    for foreign in [&b""[..], b"{}", b"\x7fELF\0\0", b"{\"sillfold_capture\":1}\t00000000\n", &[b'x'; 100]] {
        let fault = parse(foreign).expect_err("no capture");
        assert!(fault.line == 1 && fault.problem.contains("no capture"), "{fault}");
    }
    let later = Header { sillfold_capture: 2, name: "n".into(), started_ms: 0, sample: 1 };
    let fault = parse(encode_line(&later).expect("a line").as_bytes()).expect_err("another version");
    assert!(fault.problem.contains("version 2"), "{fault}");
}

#[test]
fn a_flood_of_groups_and_shapes_is_bounded_and_the_frequent_are_kept() {
    let mut recorder = Recorder::new(vec!["browse".into()], 10);
    for i in 0..100_000u32 {
        recorder.request_arrived(0, i, 0);
        recorder.attempt_ended(0, i, RecordedOutcome::Served(u64::from(i)));
        recorder.shape_served(u64::from(i) + 100, 1);
        recorder.shape_served(u64::from(i % 5), 50);
    }
    let record = recorder.take_record(0, 1_000);
    assert!(record.cells.len() <= 1_025 && record.shapes.len() <= 32, "{}", record.cells.len());
    assert_eq!(record.cells.iter().map(|c| c.arrived).sum::<u64>(), 100_000);
    let times: u64 = record.cells.iter().flat_map(|c| &c.us).map(|u| u.1).sum();
    assert_eq!(times, 10_000, "one in ten");
    for n in 0..5u64 {
        assert!(
            record.shapes.iter().any(|s| s.0 == format!("{n:016x}") && s.1 >= 15_000),
            "{:?}",
            record.shapes
        );
    }
    assert!(encode_line(&record).expect("a line").len() < 300_000);
    assert_eq!(recorder.take_record(0, 1).cells, []);
}
