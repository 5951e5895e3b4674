//! Converts updates for peers between the decision module's form and the items of a datagram, for the proxy and for the
//! simulator's adapter. The module owns the units of the items: Unix milliseconds and tenths of a request per second.
//! The caller translates host ids. The module must not judge the contents of an update.

use crate::{HostId, Micros, PeerUpdate};
use sillfold_talk::Item;

/// Encodes an update. `name_hash` gives the hash of a host's name; without one the result is none.
pub fn to_item(update: PeerUpdate, name_hash: impl Fn(HostId) -> Option<u32>) -> Option<Item> {
    Some(match update {
        PeerUpdate::HostPosition { host, position, primary } => {
            Item::HostPosition { host: name_hash(host)?, position_ms: position / 1_000, primary }
        }
        PeerUpdate::TenantRate { tenant, per_s } => {
            Item::TenantRate { tenant, tenths_per_s: (per_s * 10.0) as u32 }
        }
    })
}

/// Decodes an item. `host_id` gives this proxy's id of the host whose name has a hash; without one the result is none.
pub fn from_item(item: Item, host_id: impl Fn(u32) -> Option<HostId>) -> Option<PeerUpdate> {
    Some(match item {
        Item::HostPosition { host, position_ms, primary } => {
            let position: Micros = position_ms.saturating_mul(1_000);
            PeerUpdate::HostPosition { host: host_id(host)?, position, primary }
        }
        Item::TenantRate { tenant, tenths_per_s } => {
            PeerUpdate::TenantRate { tenant, per_s: f64::from(tenths_per_s) / 10.0 }
        }
    })
}
