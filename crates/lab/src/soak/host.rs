//! The stand-in database hosts of a run. Each listens at a separate address for every proxy, so that the address shows which
//! proxy sent a statement. All run on one thread. They store nothing: the value of an answer is the request's id.

use super::checker::Checker;
use crate::wire;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use oorandom::Rand64;
use sillfold::net::scheduler::Spawner;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Least service time of a request.
const MIN_WORK_MS: u64 = 2;
/// Bound of the random time that is added to the least service time.
const EXTRA_WORK_MS: u64 = 12;
/// Factor of the service time at a slow host.
const SLOW_FACTOR: u64 = 40;
/// Bound of the random delay before a session starts at a host with late sessions.
const MAX_SESSION_DELAY_MS: u64 = 600;
/// Longest statement that a host accepts; a longer one ends the session.
const MAX_STATEMENT_BYTES: usize = 1024 * 1024;

/// How a host behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers every request.
    #[default]
    Normal,
    /// Accepts requests and answers none.
    Hangs,
    /// Closes the connection instead of answering, after the work on a request.
    ClosesUnanswered,
    /// Takes `SLOW_FACTOR` times as long for a request.
    Slow,
    /// Rejects every request as overloaded.
    RejectsAll,
    /// Delays the start of its sessions.
    LateSessions,
    /// Sends half of each answer and closes the connection.
    CutsAnswers,
}

/// One host.
struct Host {
    mode: Mode,
    is_primary: bool,
    /// When the host's process started, in Unix milliseconds; 0 for long ago.
    started_ms: u64,
    /// The address on which the host listens for each proxy.
    addresses: Vec<SocketAddr>,
    /// The number of restarts. Connections of an earlier process end after their next statement.
    restarts: u64,
}

/// All hosts of a run.
pub struct Hosts {
    checker: Rc<RefCell<Checker>>,
    hosts: RefCell<Vec<Host>>,
    hosts_per_group: usize,
    rng: RefCell<Rand64>,
    /// The number of statements that all hosts received.
    statement_count: Cell<u64>,
}

/// The wall clock, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Hosts {
    pub fn new(checker: Rc<RefCell<Checker>>, groups: usize, hosts_per_group: usize, seed: u64) -> Hosts {
        let host = |number: usize| Host {
            mode: Mode::Normal,
            is_primary: number.is_multiple_of(hosts_per_group),
            started_ms: 0,
            addresses: Vec::new(),
            restarts: 0,
        };
        let hosts = RefCell::new((0..groups * hosts_per_group).map(host).collect());
        let rng = RefCell::new(Rand64::new(u128::from(seed) ^ 0x686f_7374));
        Hosts { checker, hosts, hosts_per_group, rng, statement_count: Cell::default() }
    }

    /// Starts listening for a further proxy at all hosts. Proxies are added in the order of their numbers.
    pub fn listen(self: &Rc<Hosts>, proxy: usize, spawner: &Spawner) -> io::Result<()> {
        for n in 0..self.count() {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            self.hosts.borrow_mut()[n].addresses.push(listener.get_ref().local_addr()?);
            let (hosts, session_spawner) = (self.clone(), spawner.clone());
            let accept = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let hosts = hosts.clone();
                    let session = async move {
                        // An error means that the connection has ended.
                        let _ = hosts.serve_session(proxy, n, stream).await;
                    };
                    session_spawner.spawn(session);
                }
            };
            spawner.spawn(accept);
        }
        Ok(())
    }

    pub fn count(&self) -> usize {
        self.hosts.borrow().len()
    }

    pub fn name(&self, host: usize) -> String {
        format!("s-{host}")
    }

    pub fn set_mode(&self, host: usize, mode: Mode) {
        self.hosts.borrow_mut()[host].mode = mode;
    }

    /// Replaces the process of a host by a new one, which is cold.
    pub fn restart(&self, host: usize) {
        let host = &mut self.hosts.borrow_mut()[host];
        (host.restarts, host.started_ms) = (host.restarts + 1, unix_ms());
    }

    /// The hosts of a host's group.
    pub fn group_of(&self, host: usize) -> std::ops::Range<usize> {
        let first = host / self.hosts_per_group * self.hosts_per_group;
        first..first + self.hosts_per_group
    }

    /// Takes the role of primary from the primary of a host's group, and gives it to another member after `pause`.
    pub async fn hand_over(&self, host: usize, pause: Duration) {
        let members = self.group_of(host);
        let first = members.start;
        let primary_index = self.hosts.borrow()[members.clone()].iter().position(|host| host.is_primary);
        let Some(primary_index) = primary_index else { return };
        self.hosts.borrow_mut()[first + primary_index].is_primary = false;
        Timer::after(pause).await;
        self.hosts.borrow_mut()[first + (primary_index + 1) % self.hosts_per_group].is_primary = true;
    }

    /// The entry of a host in the list for a proxy.
    pub fn entry(&self, host: usize, proxy: usize, status: &str) -> serde_json::Value {
        let entry = &self.hosts.borrow()[host];
        serde_json::json!({
            "name": self.name(host), "address": entry.addresses[proxy].to_string(), "zone": "a", "type": "m",
            "group": host / self.hosts_per_group, "status": status, "weight": 1.0, "since_ms": entry.started_ms,
            "access": if entry.is_primary { "writer" } else { "reader" }
        })
    }

    /// A random number below `bound`.
    fn draw(&self, bound: u64) -> u64 {
        self.rng.borrow_mut().rand_range(0..bound)
    }

    fn mode(&self, host: usize) -> Mode {
        self.hosts.borrow()[host].mode
    }

    /// Serves a session until it ends, and reports its statements to the checker.
    async fn serve_session(&self, proxy: usize, host: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let restarts = self.hosts.borrow()[host].restarts;
        let mut length = [0; 4];
        stream.read_exact(&mut length).await?;
        stream.read_exact(&mut vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)]).await?;
        if self.mode(host) == Mode::LateSessions {
            Timer::after(Duration::from_millis(self.draw(MAX_SESSION_DELAY_MS))).await;
        }
        let session_start = [wire::message(b'R', &[0; 4]), wire::ready_for_query()].concat();
        stream.write_all(&session_start).await?;
        while self.hosts.borrow()[host].restarts == restarts {
            let Some(statement) = read_statement(&mut stream).await? else { return Ok(()) };
            let (id, time_left) = request_terms(&statement);
            self.statement_count.set(self.statement_count.get() + 1);
            let attempt = self.checker.borrow_mut().statement_received(proxy, host, &id, time_left);
            let answered = self.answer(host, &statement, &id, &mut stream).await;
            let never_ran = matches!(answered, Ok(Outcome::NeverRan));
            if let Some(attempt) = attempt {
                self.checker.borrow_mut().attempt_ended(&id, attempt, never_ran);
            }
            if matches!(answered?, Outcome::ConnectionEnds) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a statement as the host's mode says.
    async fn answer(
        &self, host: usize, statement: &str, id: &str, stream: &mut Async<TcpStream>,
    ) -> io::Result<Outcome> {
        let is_write = statement.contains("INSERT");
        let mode = self.mode(host);
        let is_primary = self.hosts.borrow()[host].is_primary;
        let rejection = match mode {
            _ if is_write && !is_primary => Some("25006"),
            Mode::RejectsAll => Some("53300"),
            _ => None,
        };
        if let Some(code) = rejection {
            let report = self.host_report(is_primary);
            stream
                .write_all(
                    &[wire::error_response(code, "not here"), report, wire::ready_for_query()].concat(),
                )
                .await?;
            return Ok(Outcome::NeverRan);
        }
        let mut work_ms = MIN_WORK_MS + self.draw(EXTRA_WORK_MS);
        if mode == Mode::Slow {
            work_ms *= SLOW_FACTOR;
        }
        // A proxy cancels an attempt by closing its connection.
        let cancelled = wait_until_closed(stream);
        let worked = async {
            if mode == Mode::Hangs {
                futures_lite::future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(work_ms)).await;
            Ok(true)
        };
        let is_done = futures_lite::future::or(worked, async { cancelled.await.map(|()| false) }).await?;
        if !is_done {
            return Ok(Outcome::ConnectionEnds);
        }
        let answer = [
            wire::row_description(&["payload"]),
            wire::data_row(&[Some(id)]),
            wire::command_complete("SELECT 1"),
            self.host_report(is_primary),
            wire::ready_for_query(),
        ]
        .concat();
        match mode {
            Mode::ClosesUnanswered => Ok(Outcome::ConnectionEnds),
            Mode::CutsAnswers => {
                stream.write_all(&answer[..answer.len() / 2]).await?;
                Ok(Outcome::ConnectionEnds)
            }
            _ => {
                stream.write_all(&answer).await?;
                Ok(Outcome::Ran)
            }
        }
    }

    /// The ParameterStatus messages that report the role and the position.
    fn host_report(&self, is_primary: bool) -> Vec<u8> {
        let role = wire::parameter_status("server_role", if is_primary { "writer" } else { "reader" });
        [role, wire::parameter_status("commit_clock", &unix_ms().to_string())].concat()
    }
}

/// How a statement ended at a host.
enum Outcome {
    /// It ran and was answered.
    Ran,
    /// The host rejected it without running it.
    NeverRan,
    /// The connection ends without a complete answer.
    ConnectionEnds,
}

/// Waits until the proxy has closed the connection; an error if it sends anything.
async fn wait_until_closed(stream: &Async<TcpStream>) -> io::Result<()> {
    loop {
        stream.readable().await?;
        match stream.get_ref().peek(&mut [0]) {
            Ok(0) => return Ok(()),
            // A proxy sends nothing before the statement is answered.
            Ok(_) => return Err(io::Error::other("bytes were received behind a statement")),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// Reads the next statement; `None` if the session ends with another message or a statement that is too long.
async fn read_statement(stream: &mut Async<TcpStream>) -> io::Result<Option<String>> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).await?;
    let length = (u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize).saturating_sub(4);
    if head[0] != b'Q' || length > MAX_STATEMENT_BYTES {
        return Ok(None);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    body.pop();
    Ok(Some(String::from_utf8_lossy(&body).into_owned()))
}

/// The id in a statement's comment, and the time that is left to its client.
fn request_terms(statement: &str) -> (String, Duration) {
    let term = |name: &str| statement.split(name).nth(1).and_then(|rest| rest.split([',', ' ']).next());
    let time_left_ms = term(",d=").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    (term("id=").unwrap_or("").to_string(), Duration::from_millis(time_left_ms))
}
