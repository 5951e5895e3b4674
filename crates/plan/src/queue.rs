//! Queues of several servers: how long work waits and how likely it is late. It owns the formulas and names where
//! they are from. It must never be asked about more load than the servers can do: then the wait has no end.

use statrs::distribution::{ContinuousCDF, Normal};
use std::sync::LazyLock;

/// Quantiles of the service time over which a response time's tail is summed.
const QUANTILES: usize = 32;

/// The standard normal's quantiles at the middles of equal parts: made once, since inverting takes longer than all
/// else here.
static NORMAL: LazyLock<[f64; QUANTILES]> = LazyLock::new(|| {
    let normal = Normal::standard();
    std::array::from_fn(|i| normal.inverse_cdf((i as f64 + 0.5) / QUANTILES as f64))
});

/// Work that comes at random to servers that share one queue. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Station {
    /// How many servers.
    pub servers: u32,
    /// Arrivals a second.
    pub rate: f64,
    /// The mean service time.
    pub mean: f64,
    /// The squared coefficient of variation of service times: 0 where all are alike, 1 where exponential.
    pub cv2: f64,
}

impl Station {
    /// The share of the servers that is busy; over 1 where work comes faster than it goes.
    pub fn utilisation(&self) -> f64 {
        self.rate * self.mean / f64::from(self.servers.max(1))
    }

    /// The chance that work has to wait, by Erlang's C formula (Erlang 1917), from his B by recursion.
    pub fn waits(&self) -> f64 {
        let (offered, rho) = (self.rate * self.mean, self.utilisation());
        if rho >= 1.0 {
            return 1.0;
        }
        let blocked = (1..=self.servers.max(1)).fold(1.0, |b, k| offered * b / (f64::from(k) + offered * b));
        blocked / (1.0 - rho * (1.0 - blocked))
    }

    /// The mean wait: that of M/M/c times (1 + cv^2) / 2, after Lee and Longton (1959); exact for one server
    /// (Pollaczek and Khinchine).
    pub fn mean_wait(&self) -> f64 {
        let rho = self.utilisation();
        if rho >= 1.0 {
            return f64::INFINITY;
        }
        let exponential = self.waits() * self.mean / (f64::from(self.servers.max(1)) * (1.0 - rho));
        exponential * (1.0 + self.cv2) / 2.0
    }

    /// The chance to wait longer than this: exponential for those who wait at all, with their mean.
    pub fn waits_longer(&self, t: f64) -> f64 {
        if t < 0.0 {
            return 1.0;
        }
        let waits = self.waits();
        if waits <= 0.0 {
            return 0.0;
        }
        if self.utilisation() >= 1.0 {
            return 1.0;
        }
        waits * (-t * waits / self.mean_wait()).exp()
    }

    /// The chance that a response to work of this service time takes longer than `t`.
    pub fn late(&self, service: &Service, t: f64) -> f64 {
        let each = service.quantiles();
        each.iter().map(|s| self.waits_longer(t - s)).sum::<f64>() / each.len() as f64
    }
}

/// The service times of one kind of work, lognormal.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    quantiles: [f64; QUANTILES],
}

impl Service {
    /// Service times with this mean, in seconds, and squared coefficient of variation.
    pub fn new(mean: f64, cv2: f64) -> Service {
        let sigma2 = (1.0 + cv2.max(0.0)).ln();
        let (mu, sigma) = (mean.max(1e-9).ln() - sigma2 / 2.0, sigma2.sqrt());
        Service { quantiles: NORMAL.map(|z| (mu + sigma * z).exp()) }
    }

    fn quantiles(&self) -> &[f64] {
        &self.quantiles
    }
}

/// Two or more kinds of work as one: rates add, means weigh by rate, second moments too.
pub fn mixed(servers: u32, parts: impl Iterator<Item = (f64, f64, f64)>) -> Station {
    let (mut rate, mut first, mut second) = (0.0, 0.0, 0.0);
    for (r, mean, cv2) in parts.filter(|p| p.0 > 0.0) {
        rate += r;
        first += r * mean;
        second += r * mean * mean * (1.0 + cv2);
    }
    let mean = if rate > 0.0 { first / rate } else { 0.0 };
    let cv2 = if mean > 0.0 { (second / rate / (mean * mean) - 1.0).max(0.0) } else { 0.0 };
    Station { servers, rate, mean, cv2 }
}
