//! News between routers, as items of a datagram and back, for both programs. It owns the units of that: Unix
//! milliseconds and tenths. Names of hosts are the caller's to translate. It must never judge what is said.

use crate::{HostId, Micros, PeerUpdate};
use sillfold_talk::Item;

/// What is said on the wire; nothing where the others have no name for the host.
pub fn to_item(news: PeerUpdate, shared: impl Fn(HostId) -> Option<u32>) -> Option<Item> {
    Some(match news {
        PeerUpdate::HostPosition { host, position, primary } => {
            Item::HostPosition { host: shared(host)?, position_ms: position / 1_000, primary }
        }
        PeerUpdate::TenantRate { tenant, per_s } => {
            Item::TenantRate { tenant, tenths_per_s: (per_s * 10.0) as u32 }
        }
    })
}

/// What an item says here; nothing where nobody here is called so.
pub fn from_item(item: Item, own: impl Fn(u32) -> Option<HostId>) -> Option<PeerUpdate> {
    Some(match item {
        Item::HostPosition { host, position_ms, primary } => {
            let position: Micros = position_ms.saturating_mul(1_000);
            PeerUpdate::HostPosition { host: own(host)?, position, primary }
        }
        Item::TenantRate { tenant, tenths_per_s } => {
            PeerUpdate::TenantRate { tenant, per_s: f64::from(tenths_per_s) / 10.0 }
        }
    })
}
