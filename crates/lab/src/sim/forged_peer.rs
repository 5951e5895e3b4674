//! A forged peer, which sends datagrams under a proxy's address: every host is current, any is the primary, tenants ask
//! for everything. It owns nothing. Its datagrams are well formed, so that only the rule on a peer's word stands against
//! them.

use super::host::Fleet;
use super::world::Micros;
use sillfold::net::core::shared_host_id;
use sillfold::net::world;
use sillfold_talk::{Datagram, Item, Sender};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// It sends this often.
const INTERVAL: Duration = Duration::from_millis(20);

/// Sends false news to all proxies in the name of one, until this time.
pub async fn run(fleet: Rc<Fleet>, all: Vec<SocketAddr>, ordinal: usize, until: Micros) {
    let begun = fleet.world.unix_ms();
    let mut number = 0;
    while fleet.world.now() < until {
        number += 1;
        let now = fleet.world.unix_ms();
        let names: Vec<String> = fleet.hosts.borrow().iter().map(|h| h.name.clone()).collect();
        let mut items: Vec<Item> = names
            .iter()
            .map(|name| Item::HostPosition {
                host: shared_host_id(name),
                position_ms: now,
                primary: fleet.world.draw_fraction() < 0.5,
            })
            .collect();
        items.push(Item::TenantRate { tenant: 0, tenths_per_s: u32::MAX });
        let sender = Sender { ordinal: ordinal as u16, incarnation: begun, sequence: number };
        let (datagram, _) = Datagram::pack(sender, &items);
        all.iter().for_each(|to| fleet.world.send_forged_datagram(all[ordinal], *to, datagram.bytes()));
        world::after(INTERVAL).await;
    }
}
