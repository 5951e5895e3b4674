//! The command line: `serve`, `check` and `explain`. The module owns the commands, their options, and the output of
//! `check` and `explain`. It must not open a socket.
//!
//! Exit codes: 0 for success, 1 if `explain` met an invalid line, 2 for an invalid file or configuration.

use clap::{Args, Parser, Subcommand, ValueEnum};
use serde::{Deserialize, Serialize};
use sillfold::config::Config;
use sillfold::operator::{File, Findings, classes};
use sillfold_route::{Options, Route, RouteError, StatementRouter, Target};
use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The longest line or statement that `explain` accepts.
const MAX_LINE_BYTES: u64 = 8 << 20;

/// A proxy for replicated databases that speak the PostgreSQL protocol.
#[derive(Parser)]
#[command(version, max_term_width = 110)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub serve: Serve,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve (the default command). LB_CONFIG names the platform's file.
    Serve(Serve),
    /// Validate the operator's file: its syntax, its keys and its rules.
    Check(Check),
    /// Show how statements are classified, how long they are expected to take and where they are routed.
    Explain(Explain),
}

#[derive(Args, Clone, Default)]
pub struct Serve {
    /// The operator's file, in JSON5; without it all optional features are off.
    #[arg(long, value_name = "FILE", env = "SILLFOLD_FILE")]
    pub operator: Option<PathBuf>,
    /// The format of the log, which is written to standard error.
    #[arg(long, value_name = "FORMAT", value_enum, default_value_t)]
    pub log: LogFormat,
    /// The level of the log: `debug` adds a line for each closed connection, refusal, retry and attempt that is not started.
    #[arg(long, value_name = "LEVEL", value_enum, default_value_t, env = "SILLFOLD_LOG_LEVEL")]
    pub log_level: LogLevel,
}

#[derive(Clone, Copy, Default, PartialEq, ValueEnum)]
pub enum LogLevel {
    #[default]
    Info,
    Debug,
}

#[derive(Clone, Copy, Default, PartialEq, ValueEnum)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

#[derive(Args)]
pub struct Check {
    /// The operator's file.
    #[arg(value_name = "FILE", required_unless_present = "schema")]
    file: Option<PathBuf>,
    /// The platform's file, whose classes the rules may use; by default the one that LB_CONFIG names, if it is set.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    platform: Option<PathBuf>,
    /// Print the JSON schema of the operator's file instead.
    #[arg(long)]
    schema: bool,
}

#[derive(Args)]
pub struct Explain {
    /// Print one JSON object per line.
    #[arg(long)]
    json: bool,
    /// The operator's file, whose functions and rules apply. Without it the target depends on the effect alone.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The user that the rules are matched against.
    #[arg(long, default_value = "web")]
    user: String,
    /// The database that the rules are matched against.
    #[arg(long, default_value = "orders")]
    database: String,
    /// A file of statements, one JSON object {"sql":"..."} per line; `-` is standard input.
    #[arg(long, value_name = "FILE", conflicts_with = "statement")]
    file: Option<PathBuf>,
    /// One statement; without it and --file, one statement is read from standard input.
    #[arg(value_name = "STATEMENT")]
    statement: Option<String>,
}

/// Starts logging to standard error.
pub fn start_log(format: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Info => tracing::Level::INFO,
        LogLevel::Debug => tracing::Level::DEBUG,
    };
    let log = tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).with_max_level(level);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).with_current_span(false).init(),
    }
}

/// Prints errors and notes to standard error.
fn print_findings(findings: &Findings) {
    for line in &findings.errors {
        eprintln!("error: {line}");
    }
    for line in &findings.notes {
        eprintln!("note: {line}");
    }
}

impl Check {
    /// Validates the operator's file or prints its schema; returns the exit code.
    pub fn run(&self) -> ExitCode {
        if self.schema {
            let schema = schemars::schema_for!(File);
            return match serde_json::to_string_pretty(&schema) {
                Ok(text) => {
                    println!("{text}");
                    ExitCode::SUCCESS
                }
                Err(e) => {
                    eprintln!("sillfold: the schema: {e}");
                    ExitCode::from(2)
                }
            };
        }
        let Some(path) = &self.file else { return ExitCode::from(2) };
        let platform = match self.platform.as_deref().map(Config::from_file).transpose() {
            Ok(platform) => platform,
            Err(e) => {
                eprintln!("sillfold: {e}");
                return ExitCode::from(2);
            }
        };
        let platform_classes = platform.map(|p| classes(&p.settings, &p.program_settings.class_names));
        let (file, findings) = File::load(path, platform_classes.as_ref());
        print_findings(&findings);
        match file {
            Some(file) => {
                let rule_count = file.statements.rules.len();
                let on_or_off = if file.statements.enabled { "on" } else { "off" };
                println!("{}: sound; plain statements are {on_or_off}, {rule_count} rules", path.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(2),
        }
    }
}

/// A line of the file of statements.
#[derive(Deserialize)]
struct InputLine {
    sql: String,
}

/// The explanation of one statement. The field names are the keys of the JSON output.
#[derive(Serialize)]
struct Explanation<'a> {
    effect: &'a str,
    /// Where the statement is routed.
    target: &'a str,
    /// The fingerprint of the statement's shape, in hexadecimal.
    shape: String,
    /// The number of statements in the text.
    statements: usize,
    /// The expected service time, in microseconds.
    cost_us: u64,
    /// Whether the shape was in the cache.
    cached: bool,
    /// The reason for the effect, or for a refusal.
    why: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    rule: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    group: Option<u32>,
}

impl Explain {
    /// Explains the statements; returns the exit code.
    pub fn run(&self) -> ExitCode {
        let mut options = Options::default();
        if let Some(path) = &self.config {
            let (file, findings) = File::load(path, None);
            print_findings(&findings);
            match file {
                Some(file) => options = file.statements.options(),
                None => return ExitCode::from(2),
            }
        }
        let mut router = StatementRouter::new(options);
        match self.explain(&mut router, &mut BufWriter::new(io::stdout().lock())) {
            Ok(0) => ExitCode::SUCCESS,
            Ok(invalid_lines) => {
                eprintln!("sillfold: {invalid_lines} bad lines");
                ExitCode::FAILURE
            }
            // The reader of the output closed it early, for example `head`.
            Err(e) if e.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("sillfold: {e}");
                ExitCode::from(2)
            }
        }
    }

    /// Explains all statements in order; returns the number of invalid lines.
    fn explain(&self, router: &mut StatementRouter, out: &mut impl Write) -> io::Result<usize> {
        let Some(file) = &self.file else {
            let mut text = Vec::new();
            match &self.statement {
                Some(statement) => text.extend_from_slice(statement.as_bytes()),
                None => drop(io::stdin().lock().take(MAX_LINE_BYTES + 1).read_to_end(&mut text)?),
            }
            if text.len() as u64 > MAX_LINE_BYTES {
                return Err(io::Error::other(format!("a statement of over {MAX_LINE_BYTES} bytes")));
            }
            self.explain_one(router, &text, out)?;
            out.flush()?;
            return Ok(0);
        };
        let mut input: Box<dyn BufRead> = if file == Path::new("-") {
            Box::new(io::stdin().lock())
        } else {
            let opened = std::fs::File::open(file);
            Box::new(BufReader::new(
                opened.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", file.display())))?,
            ))
        };
        let mut invalid_lines = 0;
        let mut line = Vec::new();
        for number in 1.. {
            line.clear();
            if (&mut input).take(MAX_LINE_BYTES).read_until(b'\n', &mut line)? == 0 {
                break;
            }
            let too_long = line.len() as u64 >= MAX_LINE_BYTES && !line.ends_with(b"\n");
            if too_long {
                // Skips the rest of the line.
                while !input.fill_buf()?.is_empty() {
                    let part = input.fill_buf()?;
                    let (skipped, at_line_end) = match part.iter().position(|&b| b == b'\n') {
                        Some(newline) => (newline + 1, true),
                        None => (part.len(), false),
                    };
                    input.consume(skipped);
                    if at_line_end {
                        break;
                    }
                }
            }
            let text = line.strip_suffix(b"\n").unwrap_or(&line);
            if text.iter().all(u8::is_ascii_whitespace) && !too_long {
                continue;
            }
            let parsed = match serde_json::from_slice::<InputLine>(text) {
                _ if too_long => Err(format!("over {MAX_LINE_BYTES} bytes")),
                Ok(parsed) => Ok(parsed),
                Err(e) => Err(e.to_string()),
            };
            match parsed {
                Ok(InputLine { sql }) => self.explain_one(router, sql.as_bytes(), out)?,
                Err(e) => {
                    // Keeps the order of the lines where output and errors go to the same place.
                    out.flush()?;
                    eprintln!("line {number}: {e}");
                    invalid_lines += 1;
                }
            }
        }
        out.flush()?;
        Ok(invalid_lines)
    }

    /// Explains one statement.
    fn explain_one(
        &self, router: &mut StatementRouter, bytes: &[u8], out: &mut impl Write,
    ) -> io::Result<()> {
        let read = match std::str::from_utf8(bytes) {
            Ok(text) => router.read(text).map(|read| (read, text)),
            Err(_) => Err(sillfold_route::sql::ReadError::Encoding),
        };
        let (statement, text) = match read {
            Ok(read) => read,
            Err(e) => {
                let shape = format!("{:016x}", 0);
                let why = e.message().to_string();
                let explanation = Explanation {
                    effect: "invalid",
                    target: Target::Refuse.name(),
                    shape,
                    statements: 0,
                    cost_us: 0,
                    cached: false,
                    why,
                    rule: None,
                    class: None,
                    group: None,
                };
                return self.print(&explanation, out);
            }
        };
        let mut target = statement.target();
        let mut why = statement.reason.to_string();
        let mut route = None;
        if self.config.is_some() {
            match router.route(&statement, text, &self.user, &self.database) {
                Ok(found) => {
                    target = if found.writes { Target::Primary } else { Target::Replica };
                    route = Some(found);
                }
                Err(RouteError::NotSupported(reason) | RouteError::NoRoute(reason)) => {
                    (target, why) = (Target::Refuse, reason);
                }
            }
        }
        let rule = route.as_ref().and_then(|route: &Route| router.rules().get(route.rule_index));
        let explanation = Explanation {
            effect: statement.effect.name(),
            target: target.name(),
            shape: format!("{:016x}", statement.shape.fingerprint()),
            statements: statement.statement_count,
            cost_us: statement.estimate.p50_us,
            cached: statement.cached,
            why,
            rule: rule.map(|r| r.name.as_str()),
            class: rule.map(|r| r.class.as_str()),
            group: route.as_ref().map(|route| route.group),
        };
        self.print(&explanation, out)
    }

    /// Prints an explanation as one line, of JSON or of text.
    fn print(&self, explanation: &Explanation, out: &mut impl Write) -> io::Result<()> {
        if self.json {
            serde_json::to_writer(&mut *out, explanation)?;
            return writeln!(out);
        }
        write!(out, "{:<8} {:<8} {} ", explanation.effect, explanation.target, explanation.shape)?;
        write!(out, "{} statements, about {} us", explanation.statements, explanation.cost_us)?;
        if let (Some(rule), Some(class), Some(group)) =
            (explanation.rule, explanation.class, explanation.group)
        {
            write!(out, ", rule {rule:?} gives {class}, group {group}")?;
        }
        writeln!(out, ": {}", explanation.why)
    }
}
