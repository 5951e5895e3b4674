//! The work of reading and scanning a statement grows with its bytes and nothing else, whatever they are. Judged by counted
//! steps, so that the speed of a machine does not matter.

use sillfold_sql::{Functions, ParseLimits, StatementReader, analyze_counting};
use std::thread;

/// The longest plain statement that a proxy reads.
const STATEMENT_BYTES: usize = 160 * 1024;
/// The length of the texts of two tokens.
const PAIR_BYTES: usize = 32 * 1024;
/// The length of the beginning that is read first, so that work which is not linear is found before it takes minutes.
const BEGINNING_BYTES: usize = 4 * 1024;
/// The stack in which each text is read: the depth of calls must not grow with a text either.
const STACK_BYTES: usize = 1024 * 1024;
/// The most steps of a reading for each byte of a text: each byte is lexed, looked at again for the end of an operator or a
/// string, and compared once in each of the rows that it stands in, which double from one to the next.
const MAX_READ_STEPS_PER_BYTE: u64 = 24;
/// The most steps of a scan for each byte of a shape: each may be a parenthesis, behind which 64 tokens are looked at.
const MAX_SCAN_STEPS_PER_BYTE: u64 = 80;

/// Texts of each kind of token, and of each ending and beginning that a scanner looks at twice.
const TOKENS: [&str; 62] = [
    "+",
    "-",
    "*",
    "/",
    "<",
    ">",
    "=",
    "~",
    "!",
    "@",
    "#",
    "%",
    "^",
    "&",
    "|",
    "`",
    "?",
    "::",
    ":=",
    ":",
    "..",
    ".",
    "(",
    ")",
    "[",
    "]",
    ",",
    ";",
    "$",
    "\\",
    "{",
    "}",
    "a",
    "select",
    "in",
    "values",
    "create",
    "begin atomic",
    "case",
    "end",
    "to",
    "from",
    "é",
    "1",
    "1.",
    "1e",
    "0x",
    "$1",
    "'b'",
    "E'b\\''",
    "'b\\'",
    "b'1'",
    "\"c\"",
    "\"c\"\"\"",
    "U&\"c\"",
    "$$d$$",
    "$e$ $ $e$",
    "--f\n",
    "/*g*/",
    "/*",
    "'",
    "\n",
];
/// Texts that nest, with what ends each.
const NESTS: [(&str, &str); 20] = [
    ("(", ")"),
    ("[", "]"),
    ("f(", ")"),
    ("in (", ")"),
    ("(1,", ")"),
    ("values (", ")"),
    ("case when ", " end"),
    ("array[", "]"),
    ("(select ", ")"),
    ("not ", ""),
    ("- ", ""),
    ("/*", "*/"),
    ("(a, ", "), (a)"),
    ("((", "),())"),
    ("('b', ", ")"),
    ("[1, ", "]"),
    ("x in ('b', ", ")"),
    ("begin atomic case ", " end end;"),
    ("+-", "-+"),
    ("<", ">"),
];

/// Reads and scans the beginning of a text, then the whole, and returns an error if that took too many steps.
fn check(reader: &mut StatementReader, functions: &Functions, text: &str) -> Result<(), String> {
    let end = (0..=BEGINNING_BYTES.min(text.len())).rev().find(|&n| text.is_char_boundary(n));
    check_steps(reader, functions, &text[..end.unwrap_or(0)])?;
    check_steps(reader, functions, text)
}

/// Reads and scans a text, and returns an error if that took too many steps.
fn check_steps(reader: &mut StatementReader, functions: &Functions, text: &str) -> Result<(), String> {
    let beginning: String = text.chars().take(40).collect();
    if reader.read(text).is_err() {
        return Ok(());
    }
    let (steps, bytes) = (reader.steps(), text.len() as u64);
    if steps > MAX_READ_STEPS_PER_BYTE * bytes {
        return Err(format!("{beginning:?}...: {steps} steps to read {bytes} bytes"));
    }
    let limits = ParseLimits::default();
    // Only the scan is judged: it gets the longest shape that is scanned whole, and the whole one.
    let shape = reader.shape();
    let longest = (0..=limits.max_shape_bytes.min(shape.len())).rev().find(|&n| shape.is_char_boundary(n));
    for shape in [shape, &shape[..longest.unwrap_or(0)]] {
        let no_parser = ParseLimits { max_operators: 0, max_depth: 0, ..limits };
        let (_, steps) = analyze_counting(shape, functions, &no_parser);
        if steps > MAX_SCAN_STEPS_PER_BYTE * shape.len().max(1) as u64 {
            return Err(format!("{beginning:?}...: {steps} steps to scan {} bytes", shape.len()));
        }
    }
    Ok(())
}

/// Checks all texts, on all cores.
fn check_all(texts: impl Fn(usize) -> Vec<String> + Sync, count: usize) {
    let threads = thread::available_parallelism().map_or(4, usize::from);
    let texts = &texts;
    let broken: Vec<String> = thread::scope(|scope| {
        let check_part = |part: usize| {
            let (mut reader, functions) = (StatementReader::default(), Functions::default());
            let numbers = (part..count).step_by(threads);
            let checked = numbers.flat_map(texts).map(|text| check(&mut reader, &functions, &text));
            checked.filter_map(Result::err).collect::<Vec<String>>()
        };
        let start = |part| {
            thread::Builder::new().stack_size(STACK_BYTES).spawn_scoped(scope, move || check_part(part))
        };
        let parts: Vec<_> = (0..threads).map(|part| start(part).expect("a thread")).collect();
        parts.into_iter().flat_map(|part| part.join().expect("no panic")).collect()
    });
    assert!(broken.is_empty(), "{} texts, first {:?}", broken.len(), &broken[..broken.len().min(5)]);
}

fn repeated(text: &str, bytes: usize) -> String {
    text.repeat(bytes / text.len())
}

/// Guards against a run of signs that is looked at anew for each sign: a client's statement of 150,000 plus signs held the
/// only thread for minutes. And against a run of comments that uses a part of the stack for each.
#[test]
fn a_run_of_any_token_or_pair_of_tokens_is_read_in_linear_work() {
    let texts = |number: usize| {
        let first = TOKENS[number];
        let pairs = TOKENS.iter().flat_map(move |second| {
            // Side by side, apart, and one run behind the other, which only the last token of the run may decide.
            let run = |text: &str| repeated(text, PAIR_BYTES / 2);
            [
                repeated(&format!("{first}{second}"), PAIR_BYTES),
                repeated(&format!("{first} {second} "), PAIR_BYTES),
                format!("select 1 {}{}", run(first), run(second)),
                format!("select 1 {}{second}", repeated(first, PAIR_BYTES)),
            ]
        });
        let longest = [first.to_string(), format!("{first} "), format!("{first}1")];
        pairs.chain(longest.map(|text| format!("select 1 {}", repeated(&text, STATEMENT_BYTES)))).collect()
    };
    check_all(texts, TOKENS.len());
}

#[test]
fn a_nesting_of_any_two_kinds_is_read_in_linear_work() {
    let texts = |number: usize| {
        let (open, close) = NESTS[number];
        let nested = NESTS.iter().flat_map(move |(other_open, other_close)| {
            let bytes = open.len() + close.len() + other_open.len() + other_close.len();
            [8, 100, 130, STATEMENT_BYTES / bytes].map(|depth| {
                let nest = format!(
                    "{}1{} ",
                    format!("{open}{other_open}").repeat(depth),
                    format!("{other_close}{close}").repeat(depth)
                );
                format!("select {}", nest.repeat((STATEMENT_BYTES / nest.len()).max(1)))
            })
        });
        nested.collect()
    };
    check_all(texts, NESTS.len());
}

/// Rows that differ in their last value only, at each level of a nesting: each is compared with the one before.
#[test]
fn rows_that_almost_repeat_are_read_in_linear_work() {
    let texts = |levels: usize| {
        let mut row = "(a)".to_string();
        for level in 0..levels {
            let other = format!("{})", row.trim_end_matches(')').to_string() + &")".repeat(level));
            row = format!("({row}, {other}, {})", row.replacen('a', "b", 1));
            if row.len() > STATEMENT_BYTES {
                break;
            }
        }
        vec![format!("insert into t values {row}"), format!("select 1 in {row}")]
    };
    check_all(texts, 16);
}

/// The tokens of a run of signs end where PostgreSQL's scanner ends them, whichever sign the reader comes from.
#[test]
fn signs_at_the_end_of_a_run_are_operators_of_their_own() {
    for (text, shape) in [
        ("1+++1", "0 + + + 0 "),
        ("1<-+1", "0 < - + 0 "),
        ("1*+-+1", "0 * + - + 0 "),
        ("1+~+1", "0 +~+ 0 "),
        ("1++~+1", "0 ++~+ 0 "),
        ("1=+ +~1", "0 = + +~ 0 "),
        ("1+-/*c*/-1", "0 + - - 0 "),
        ("1=+--c\n+1", "0 = + + 0 "),
        ("1+=-+=+1", "0 +=-+= + 0 "),
    ] {
        let mut reader = StatementReader::default();
        reader.read(text).expect("a statement");
        assert_eq!(reader.shape(), shape, "{text}");
    }
}
