//! Captures: recording, parsing and summing up, also of damaged files.

use sillfold_capture::*;

/// A capture of four records.
fn capture_bytes() -> Vec<u8> {
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
fn recorded_load_is_parsed_and_summed_up() {
    let (capture, fault) = parse(&capture_bytes()).expect("a capture");
    assert_eq!((fault, capture.records.len(), capture.header.name.as_str()), (None, 4, "n0"));
    let summary = capture.summary();
    let browse = &summary.classes["browse"];
    assert_eq!((browse.arrived, browse.samples, summary.seconds), (400, 380, 4.0));
    assert!((browse.missed - 0.05).abs() < 1e-9 && (browse.tries - 1.0).abs() < 1e-9);
    assert!((browse.mean_us / 40_000.0 - 1.0).abs() < 0.1 && browse.cv2 < 0.01, "{browse:?}");
    assert_eq!((summary.classes["ingest"].unserved, summary.groups[&3], summary.groups[&4]), (1.0, 400, 4));
    // One statement in eight is sampled and counts as eight.
    let (fingerprint, count, mean_us) = &summary.shapes[0];
    assert!(
        fingerprint == "0000000000000007" && (320..=480).contains(count) && *mean_us == 40_000.0,
        "{:?}",
        summary.shapes
    );
    assert_eq!(capture.records[0].cells[0].expected, (50, 100_000));
}

#[test]
fn truncated_capture_keeps_intact_records_and_reports_the_line() {
    let bytes = capture_bytes();
    let line_ends: Vec<usize> = bytes.iter().enumerate().filter(|b| *b.1 == b'\n').map(|b| b.0 + 1).collect();
    for cut in 0..bytes.len() {
        let intact_lines = line_ends.iter().filter(|&&e| e <= cut).count();
        match parse(&bytes[..cut]) {
            // A record that lacks only its line end is kept too.
            Ok((capture, fault)) => {
                let parsed_lines = capture.records.len() + 1;
                assert!(
                    parsed_lines == intact_lines || parsed_lines == intact_lines + 1,
                    "{parsed_lines} of {intact_lines} at {cut}"
                );
                assert_eq!(fault.is_none(), line_ends.contains(&cut), "at {cut}");
                assert!(
                    fault.is_none_or(|f| f.line == intact_lines + 1 || f.line == intact_lines),
                    "at {cut}"
                );
            }
            Err(fault) => assert!(intact_lines == 0 && fault.line == 1, "at {cut}: {fault}"),
        }
    }
}

#[test]
fn changed_byte_is_detected_and_other_files_are_rejected() {
    let bytes = capture_bytes();
    let second_line = bytes.iter().position(|&b| b == b'\n').expect("a line") + 1;
    for at in (second_line..bytes.len()).step_by(7).filter(|&at| bytes[at] != b'\n') {
        let mut changed = bytes.clone();
        changed[at] ^= 4;
        let (capture, fault) = parse(&changed).expect("the header is intact");
        let line = bytes[..at].iter().filter(|&&b| b == b'\n').count() + 1;
        // A changed digit of a checksum may have the same value.
        let unchanged = capture.records == parse(&bytes).expect("a capture").0.records;
        assert!(
            unchanged || fault.is_some_and(|f| f.line == line && capture.records.len() == line - 2),
            "at {at}"
        );
    }
    for not_a_capture in
        [&b""[..], b"{}", b"\x7fELF\0\0", b"{\"sillfold_capture\":1}\t00000000\n", &[b'x'; 100]]
    {
        let fault = parse(not_a_capture).expect_err("no capture");
        assert!(fault.line == 1 && fault.problem.contains("no capture"), "{fault}");
    }
    let next_version = Header { sillfold_capture: 2, name: "n".into(), started_ms: 0, sample: 1 };
    let fault = parse(encode_line(&next_version).expect("a line").as_bytes()).expect_err("another version");
    assert!(fault.problem.contains("version 2"), "{fault}");
}

#[test]
fn many_groups_and_shapes_stay_bounded_and_frequent_shapes_are_kept() {
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
    let samples: u64 = record.cells.iter().flat_map(|c| &c.us).map(|u| u.1).sum();
    assert_eq!(samples, 10_000, "one in ten");
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
