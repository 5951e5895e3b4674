//! A forged peer, which sends false peer updates under a proxy's address: every host is up to date, any may be the
//! primary, and the first tenant's rate is the largest possible. It sends through the simulated world and keeps no
//! state of its own. Its datagrams are well formed, so only the proxies' rule for trusting a peer's updates
//! protects against them.

use super::host::Fleet;
use super::world::Micros;
use sillfold::net::core::shared_host_id;
use sillfold::net::world;
use sillfold_talk::{Datagram, Item, Sender};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two rounds of forged datagrams.
const INTERVAL: Duration = Duration::from_millis(20);

/// Sends false updates to all proxies until the time `until`, under the address and ordinal of the proxy `ordinal`.
/// `addresses` holds the peer address of each proxy, by ordinal.
pub async fn run(fleet: Rc<Fleet>, addresses: Vec<SocketAddr>, ordinal: usize, until: Micros) {
    let started_ms = fleet.world.unix_ms();
    let mut sequence = 0;
    while fleet.world.now() < until {
        sequence += 1;
        let now_ms = fleet.world.unix_ms();
        let names: Vec<String> = fleet.hosts.borrow().iter().map(|h| h.name.clone()).collect();
        let mut items: Vec<Item> = names
            .iter()
            .map(|name| Item::HostPosition {
                host: shared_host_id(name),
                position_ms: now_ms,
                primary: fleet.world.draw_fraction() < 0.5,
            })
            .collect();
        items.push(Item::TenantRate { tenant: 0, tenths_per_s: u32::MAX });
        let sender = Sender { ordinal: ordinal as u16, incarnation: started_ms, sequence };
        let (datagram, _) = Datagram::pack(sender, &items);
        addresses
            .iter()
            .for_each(|to| fleet.world.send_forged_datagram(addresses[ordinal], *to, datagram.bytes()));
        world::after(INTERVAL).await;
    }
}
