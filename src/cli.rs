//! The command line: `serve`, `check` and `explain`. It owns the names of the commands and what `check` and
//! `explain` print. It must never open a socket.
//!
//! Exit codes: 0 for yes, 1 where `explain` met a bad line, 2 for a file or a configuration that will not do.

use clap::{Args, Parser, Subcommand, ValueEnum};
use serde::{Deserialize, Serialize};
use sillfold::config::Config;
use sillfold::operator::{File, Findings, classes};
use sillfold_route::{Options, Route, RouteError, StatementRouter, Target};
use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The longest line that `explain` takes, in bytes.
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
    /// Serve; this is also what no command means. LB_CONFIG names the platform's file.
    Serve(Serve),
    /// Check the operator's file: its schema, its keys and its rules.
    Check(Check),
    /// Tell how statements are read, what they are expected to cost and where they go.
    Explain(Explain),
}

#[derive(Args, Clone, Default)]
pub struct Serve {
    /// The operator's file, JSON5; without it everything in it is off.
    #[arg(long, value_name = "FILE", env = "SILLFOLD_FILE")]
    pub operator: Option<PathBuf>,
    /// How the log is written, to standard error.
    #[arg(long, value_name = "FORMAT", value_enum, default_value_t)]
    pub log: LogFormat,
    /// How much is written: `debug` adds a line for each close, refusal, repeat and attempt that is not started.
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
    /// The platform's file, to check the rules' classes against; else LB_CONFIG, if it is set.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    platform: Option<PathBuf>,
    /// Print the schema of the operator's file instead.
    #[arg(long)]
    schema: bool,
}

#[derive(Args)]
pub struct Explain {
    /// Print one JSON object a line.
    #[arg(long)]
    json: bool,
    /// The operator's file, whose functions and rules count. Without it the target is by effect alone.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The user for whom rules are asked.
    #[arg(long, default_value = "web")]
    user: String,
    /// The database for which rules are asked.
    #[arg(long, default_value = "orders")]
    database: String,
    /// Statements, one JSON object {"sql":"..."} a line; `-` is standard input.
    #[arg(long, value_name = "FILE", conflicts_with = "statement")]
    file: Option<PathBuf>,
    /// One statement; read from standard input where neither it nor --file is given.
    #[arg(value_name = "STATEMENT")]
    statement: Option<String>,
}

/// From here on what the program logs is written so.
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

fn print_findings(findings: &Findings) {
    for line in &findings.errors {
        eprintln!("error: {line}");
    }
    for line in &findings.notes {
        eprintln!("note: {line}");
    }
}

impl Check {
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
            Err(what) => {
                eprintln!("sillfold: {what}");
                return ExitCode::from(2);
            }
        };
        let known = platform.map(|p| classes(&p.settings, &p.program_settings.class_names));
        let (file, findings) = File::load(path, known.as_ref());
        print_findings(&findings);
        match file {
            Some(file) => {
                let rules = file.statements.rules.len();
                let on = if file.statements.enabled { "on" } else { "off" };
                println!("{}: sound; plain statements are {on}, {rules} rules", path.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(2),
        }
    }
}

/// A line of the file.
#[derive(Deserialize)]
struct Line {
    sql: String,
}

/// What is told of one text.
#[derive(Serialize)]
struct Told<'a> {
    effect: &'a str,
    target: &'a str,
    shape: String,
    statements: usize,
    cost_us: u64,
    cached: bool,
    why: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    rule: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    group: Option<u32>,
}

impl Explain {
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
        let mut desk = StatementRouter::new(options);
        match self.explain(&mut desk, &mut BufWriter::new(io::stdout().lock())) {
            Ok(0) => ExitCode::SUCCESS,
            Ok(bad) => {
                eprintln!("sillfold: {bad} bad lines");
                ExitCode::FAILURE
            }
            // Whoever reads the output has seen enough.
            Err(e) if e.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("sillfold: {e}");
                ExitCode::from(2)
            }
        }
    }

    /// Explains all statements in order; returns how many lines were bad.
    fn explain(&self, desk: &mut StatementRouter, out: &mut impl Write) -> io::Result<usize> {
        let Some(file) = &self.file else {
            let mut text = Vec::new();
            match &self.statement {
                Some(statement) => text.extend_from_slice(statement.as_bytes()),
                None => drop(io::stdin().lock().take(MAX_LINE_BYTES + 1).read_to_end(&mut text)?),
            }
            if text.len() as u64 > MAX_LINE_BYTES {
                return Err(io::Error::other(format!("a statement of over {MAX_LINE_BYTES} bytes")));
            }
            self.one(desk, &text, out)?;
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
        let (mut bad, mut line) = (0, Vec::new());
        for number in 1.. {
            line.clear();
            if (&mut input).take(MAX_LINE_BYTES).read_until(b'\n', &mut line)? == 0 {
                break;
            }
            let long = line.len() as u64 >= MAX_LINE_BYTES && !line.ends_with(b"\n");
            if long {
                // The rest of it is no line of its own.
                while !input.fill_buf()?.is_empty() {
                    let part = input.fill_buf()?;
                    let (n, end) = match part.iter().position(|&b| b == b'\n') {
                        Some(at) => (at + 1, true),
                        None => (part.len(), false),
                    };
                    input.consume(n);
                    if end {
                        break;
                    }
                }
            }
            let text = line.strip_suffix(b"\n").unwrap_or(&line);
            if text.iter().all(u8::is_ascii_whitespace) && !long {
                continue;
            }
            let parsed = match serde_json::from_slice::<Line>(text) {
                _ if long => Err(format!("over {MAX_LINE_BYTES} bytes")),
                Ok(parsed) => Ok(parsed),
                Err(e) => Err(e.to_string()),
            };
            match parsed {
                Ok(Line { sql }) => self.one(desk, sql.as_bytes(), out)?,
                Err(e) => {
                    // In the order of the lines, whatever both are written to.
                    out.flush()?;
                    eprintln!("line {number}: {e}");
                    bad += 1;
                }
            }
        }
        out.flush()?;
        Ok(bad)
    }

    fn one(&self, desk: &mut StatementRouter, bytes: &[u8], out: &mut impl Write) -> io::Result<()> {
        let read = match std::str::from_utf8(bytes) {
            Ok(text) => desk.read(text).map(|read| (read, text)),
            Err(_) => Err(sillfold_route::sql::ReadError::Encoding),
        };
        let (read, text) = match read {
            Ok(read) => read,
            Err(e) => {
                let (shape, why) = (format!("{:016x}", 0), e.message().to_string());
                let told = Told {
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
                return self.print(&told, out);
            }
        };
        let (mut target, mut why) = (read.target(), read.reason.to_string());
        let mut given = None;
        if self.config.is_some() {
            match desk.route(&read, text, &self.user, &self.database) {
                Ok(route) => {
                    target = if route.writes { Target::Primary } else { Target::Replica };
                    given = Some(route);
                }
                Err(RouteError::NotSupported(what) | RouteError::NoRoute(what)) => {
                    (target, why) = (Target::Refuse, what);
                }
            }
        }
        let rule = given.as_ref().and_then(|g: &Route| desk.rules().get(g.rule_index));
        let told = Told {
            effect: read.effect.name(),
            target: target.name(),
            shape: format!("{:016x}", read.shape.fingerprint()),
            statements: read.statement_count,
            cost_us: read.estimate.p50_us,
            cached: read.cached,
            why,
            rule: rule.map(|r| r.name.as_str()),
            class: rule.map(|r| r.class.as_str()),
            group: given.as_ref().map(|g| g.group),
        };
        self.print(&told, out)
    }

    fn print(&self, told: &Told, out: &mut impl Write) -> io::Result<()> {
        if self.json {
            serde_json::to_writer(&mut *out, told)?;
            return writeln!(out);
        }
        write!(out, "{:<8} {:<8} {} ", told.effect, told.target, told.shape)?;
        write!(out, "{} statements, about {} us", told.statements, told.cost_us)?;
        if let (Some(rule), Some(class), Some(group)) = (told.rule, told.class, told.group) {
            write!(out, ", rule {rule:?} gives {class}, group {group}")?;
        }
        writeln!(out, ": {}", told.why)
    }
}
