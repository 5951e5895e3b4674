//! The stand-in database hosts of a run: each listens at an address of its own for every proxy, so that what comes tells who
//! sent it. All run on one thread. They commit in no store: an answer's value is the request's id.

use super::book::Book;
use crate::wire;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use oorandom::Rand64;
use sillfold::net::world::Spawner;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a request takes at least, and how much more at most.
const WORK_MS: (u64, u64) = (2, 12);
/// So many times more at a slow host.
const SLOW: u64 = 40;
/// How late sessions come up at most.
const LATE_MS: u64 = 600;
/// The longest statement.
const MOST_STATEMENT: usize = 64 * 1024;

/// How a host behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Well,
    /// It takes requests and answers none.
    Hangs,
    /// It resets connections in the middle of the work.
    Resets,
    /// It works slowly.
    Slow,
    /// It turns all away.
    Full,
    /// Its sessions come up late.
    LateSessions,
    /// Its answers end in their middle, and the connection with them.
    CutsAnswers,
}

struct Host {
    mode: Mode,
    primary: bool,
    /// When its process started, in Unix milliseconds; 0 for long ago.
    started_ms: u64,
    /// Where it listens for each proxy.
    addresses: Vec<SocketAddr>,
    /// Counts its processes: connections of an earlier one are gone.
    process: u64,
}

/// All hosts of a run.
pub struct Hosts {
    book: Rc<RefCell<Book>>,
    hosts: RefCell<Vec<Host>>,
    members: usize,
    lots: RefCell<Rand64>,
    statements: Cell<u64>,
}

/// The wall clock, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

impl Hosts {
    pub fn new(book: Rc<RefCell<Book>>, groups: usize, members: usize, seed: u64) -> Hosts {
        let host = |n: usize| Host {
            mode: Mode::Well,
            primary: n.is_multiple_of(members),
            started_ms: 0,
            addresses: Vec::new(),
            process: 0,
        };
        let hosts = RefCell::new((0..groups * members).map(host).collect());
        let lots = RefCell::new(Rand64::new(u128::from(seed) ^ 0x686f_7374));
        Hosts { book, hosts, members, lots, statements: Cell::default() }
    }

    /// All hosts listen for one more proxy.
    pub fn listen(self: &Rc<Hosts>, proxy: usize, spawner: &Spawner) -> io::Result<()> {
        for n in 0..self.count() {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            self.hosts.borrow_mut()[n].addresses.push(listener.get_ref().local_addr()?);
            let (hosts, own) = (self.clone(), spawner.clone());
            let accept = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let hosts = hosts.clone();
                    let session = async move {
                        // An error is the end of the connection.
                        let _ = hosts.serve(proxy, n, stream).await;
                    };
                    own.spawn(session);
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

    /// Its process ends, and another starts, cold.
    pub fn restart(&self, host: usize) {
        let host = &mut self.hosts.borrow_mut()[host];
        (host.process, host.started_ms) = (host.process + 1, unix_ms());
    }

    /// The members of a host's group.
    pub fn group_of(&self, host: usize) -> std::ops::Range<usize> {
        let first = host / self.members * self.members;
        first..first + self.members
    }

    /// The primary of a group gives its role up, and another member has it after a while.
    pub async fn hand_over(&self, host: usize, after: Duration) {
        let members = self.group_of(host);
        let first = members.start;
        let present = self.hosts.borrow()[members.clone()].iter().position(|h| h.primary);
        let Some(present) = present else { return };
        self.hosts.borrow_mut()[first + present].primary = false;
        Timer::after(after).await;
        self.hosts.borrow_mut()[first + (present + 1) % self.members].primary = true;
    }

    /// A host in the list, as a proxy has it.
    pub fn entry(&self, host: usize, proxy: usize, status: &str) -> serde_json::Value {
        let h = &self.hosts.borrow()[host];
        serde_json::json!({
            "name": self.name(host), "address": h.addresses[proxy].to_string(), "zone": "a", "type": "m",
            "group": host / self.members, "status": status, "weight": 1.0, "since_ms": h.started_ms,
            "access": if h.primary { "writer" } else { "reader" }
        })
    }

    fn draw(&self, n: u64) -> u64 {
        self.lots.borrow_mut().rand_range(0..n)
    }

    fn mode(&self, host: usize) -> Mode {
        self.hosts.borrow()[host].mode
    }

    async fn serve(&self, proxy: usize, host: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let process = self.hosts.borrow()[host].process;
        let mut length = [0; 4];
        stream.read_exact(&mut length).await?;
        stream.read_exact(&mut vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)]).await?;
        if self.mode(host) == Mode::LateSessions {
            Timer::after(Duration::from_millis(self.draw(LATE_MS))).await;
        }
        let welcome = [wire::message(b'R', &[0; 4]), wire::ready_for_query()].concat();
        stream.write_all(&welcome).await?;
        while self.hosts.borrow()[host].process == process {
            let Some(statement) = read_statement(&mut stream).await? else { return Ok(()) };
            let (id, told) = terms(&statement);
            self.statements.set(self.statements.get() + 1);
            let attempt = self.book.borrow_mut().arrives(proxy, host, &id, told);
            let answered = self.answer(host, &statement, &id, &mut stream).await;
            let never_ran = matches!(answered, Ok(Outcome::NeverRan));
            if let Some(attempt) = attempt {
                self.book.borrow_mut().attempt_ends(&id, attempt, never_ran);
            }
            if matches!(answered?, Outcome::Ends) {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn answer(
        &self, host: usize, statement: &str, id: &str, stream: &mut Async<TcpStream>,
    ) -> io::Result<Outcome> {
        let writes = statement.contains("INSERT");
        let (mode, primary) = (self.mode(host), self.hosts.borrow()[host].primary);
        let refuse = match mode {
            _ if writes && !primary => Some("25006"),
            Mode::Full => Some("53300"),
            _ => None,
        };
        if let Some(code) = refuse {
            let notes = self.notes(primary);
            stream
                .write_all(&[wire::error_response(code, "not here"), notes, wire::ready_for_query()].concat())
                .await?;
            return Ok(Outcome::NeverRan);
        }
        let mut work = WORK_MS.0 + self.draw(WORK_MS.1);
        if mode == Mode::Slow {
            work *= SLOW;
        }
        // Its proxy withdraws an attempt by closing its connection.
        let withdrawn = until_closed(stream);
        let worked = async {
            if mode == Mode::Hangs {
                futures_lite::future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(work)).await;
            Ok(true)
        };
        let done = futures_lite::future::or(worked, async { withdrawn.await.map(|()| false) }).await?;
        if !done {
            return Ok(Outcome::Ends);
        }
        let answer = [
            wire::row_description(&["payload"]),
            wire::data_row(&[Some(id)]),
            wire::command_complete("SELECT 1"),
            self.notes(primary),
            wire::ready_for_query(),
        ]
        .concat();
        match mode {
            Mode::Resets => Ok(Outcome::Ends),
            Mode::CutsAnswers => {
                stream.write_all(&answer[..answer.len() / 2]).await?;
                Ok(Outcome::Ends)
            }
            _ => {
                stream.write_all(&answer).await?;
                Ok(Outcome::Ran)
            }
        }
    }

    fn notes(&self, primary: bool) -> Vec<u8> {
        let role = wire::parameter_status("server_role", if primary { "writer" } else { "reader" });
        [role, wire::parameter_status("commit_clock", &unix_ms().to_string())].concat()
    }
}

/// What became of a statement.
enum Outcome {
    Ran,
    NeverRan,
    /// The connection ends with it.
    Ends,
}

/// Returns once the other side has closed the connection.
async fn until_closed(stream: &Async<TcpStream>) -> io::Result<()> {
    loop {
        stream.readable().await?;
        match stream.get_ref().peek(&mut [0]) {
            Ok(0) => return Ok(()),
            // Nothing is sent behind a statement.
            Ok(_) => return Err(io::Error::other("bytes behind a statement")),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// The next statement; nothing where the session ends.
async fn read_statement(stream: &mut Async<TcpStream>) -> io::Result<Option<String>> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).await?;
    let length = (u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize).saturating_sub(4);
    if head[0] != b'Q' || length > MOST_STATEMENT {
        return Ok(None);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    body.pop();
    Ok(Some(String::from_utf8_lossy(&body).into_owned()))
}

/// The id in a statement's comment, and the time that it tells.
fn terms(statement: &str) -> (String, Duration) {
    let term = |name: &str| statement.split(name).nth(1).and_then(|rest| rest.split([',', ' ']).next());
    let told_ms = term(",d=").and_then(|d| d.parse().ok()).unwrap_or(0);
    (term("id=").unwrap_or("").to_string(), Duration::from_millis(told_ms))
}
