//! Simulates clients that send several requests behind one another: reads of one group, then two writes to one row of
//! another group. The first write has a long value, which its host commits behind. The row has to hold the second write
//! where both were served.

use super::client::{Target, connect};
use super::deployment::{Access, Class};
use super::host::{Fleet, read_message};
use super::world::Micros;
use crate::wire;
use futures_lite::future;
use sillfold::net::world::{self, Stream};
use std::rc::Rc;
use std::time::Duration;

/// The reads before the two writes, whose answers come first.
const READS: usize = 3;
/// The longest wait for all answers.
const ANSWERS_TIMEOUT: Duration = Duration::from_secs(12);

/// The requests of one pipeline.
struct Series {
    bytes: Vec<u8>,
    /// The row of both writes.
    row: String,
    /// The id of the last write.
    last: String,
}

/// Sends pipelines to a proxy until this time. Needs two groups.
pub async fn run_pipelining_client(fleet: Rc<Fleet>, target: Rc<Target>, until: Micros) {
    let w = fleet.world.clone();
    let class = |is_write: bool| {
        let fits = |c: &&Rc<Class>| match c.access {
            Access::Write => is_write,
            Access::AnyRead => !is_write,
            _ => false,
        };
        fleet.classes.iter().find(fits).cloned()
    };
    let (Some(read), Some(write)) = (class(false), class(true)) else { return };
    while w.now() < until {
        world::after(Duration::from_millis(20 + w.draw_below(100))).await;
        let Some(stream) = connect(target.address).await else { continue };
        let series = series(&fleet, &read, &write);
        let answers = async { send_series(&stream, &series).await };
        let timeout = async {
            world::after(ANSWERS_TIMEOUT).await;
            None
        };
        let Some(served) = future::or(answers, timeout).await else { continue };
        let held = fleet.row(&series.row);
        if served[READS..].iter().all(|served| *served) && held.as_deref() != Some(&series.last) {
            let what = format!("{} was served last, and its row holds {held:?}", series.last);
            let checker = &mut fleet.checker.borrow_mut();
            checker.record_broken_rule("the last write stays", w.now(), what, &[&series.last, &series.row]);
        }
    }
}

/// The next pipeline.
fn series(fleet: &Fleet, read: &Class, write: &Class) -> Series {
    let number = fleet.next_series();
    let row = format!("row{number}");
    let request = |place: usize, class: &Class, more: &str, statement: &str| {
        let (id, name, deadline) = (format!("s{number}.{place}"), &class.name, class.deadline_ms);
        let text = format!("/* id={id},c={name},d={deadline},k={id}{more} */ {statement}");
        wire::message(b'Q', &[text.as_bytes(), b"\0"].concat())
    };
    let insert = format!("INSERT INTO e VALUES ('{row}')");
    let mut bytes = Vec::new();
    for place in 0..READS {
        bytes.extend(request(place, read, ",cluster=1", &format!("SELECT v FROM e WHERE k = '{row}r'")));
    }
    bytes.extend(request(READS, write, ",long=1,cluster=0", &insert));
    bytes.extend(request(READS + 1, write, ",cluster=0", &insert));
    Series { bytes, row, last: format!("s{number}.{}", READS + 1) }
}

/// Sends a pipeline. Returns for each request whether it was answered with a value; `None` if the connection ends before.
async fn send_series(stream: &Stream, series: &Series) -> Option<Vec<bool>> {
    stream.write_all(&series.bytes).await.ok()?;
    let (mut received, mut served, mut is_served) = (Vec::new(), Vec::new(), false);
    while served.len() < READS + 2 {
        match read_message(stream, &mut received).await.ok()?? {
            (b'D', _) => is_served = true,
            // An error behind a value tells that the value is not valid.
            (b'E', _) => is_served = false,
            (b'Z', _) => served.push(std::mem::take(&mut is_served)),
            _ => {}
        }
    }
    Some(served)
}
