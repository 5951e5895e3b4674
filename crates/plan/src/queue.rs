//! Formulas for queues with several servers: the mean wait, and the probability that a response is late. Each formula
//! names its source. The module calls only the normal distribution of `statrs`. It must not be asked for waiting times
//! at a load above the servers' capacity, where the wait is unbounded.

use statrs::distribution::{ContinuousCDF, Normal};
use std::sync::LazyLock;

/// Number of quantiles of the service time over which the tail of the response time is averaged.
const QUANTILES: usize = 32;

/// Quantiles of the standard normal distribution at the midpoints of `QUANTILES` equal parts. Computed once, because
/// the inversion takes longer than everything else in this module.
static NORMAL_QUANTILES: LazyLock<[f64; QUANTILES]> = LazyLock::new(|| {
    let normal = Normal::standard();
    std::array::from_fn(|i| normal.inverse_cdf((i as f64 + 0.5) / QUANTILES as f64))
});

/// Several servers that share one queue, with random (Poisson) arrivals. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Station {
    /// Number of servers.
    pub servers: u32,
    /// Arrivals per second.
    pub rate: f64,
    /// Mean service time.
    pub mean: f64,
    /// Squared coefficient of variation of the service time: 0 for constant times, 1 for exponential ones.
    pub cv2: f64,
}

impl Station {
    /// The utilization of the servers; above 1 where work arrives faster than they complete it.
    pub fn utilization(&self) -> f64 {
        self.rate * self.mean / f64::from(self.servers.max(1))
    }

    /// The probability that an arrival has to wait, by Erlang's C formula (Erlang 1917). C is computed from Erlang's B,
    /// the blocking probability, which is computed by recursion over the number of servers.
    pub fn wait_probability(&self) -> f64 {
        let (offered, rho) = (self.rate * self.mean, self.utilization());
        if rho >= 1.0 {
            return 1.0;
        }
        let blocking = (1..=self.servers.max(1)).fold(1.0, |b, k| offered * b / (f64::from(k) + offered * b));
        blocking / (1.0 - rho * (1.0 - blocking))
    }

    /// The mean wait: that of M/M/c multiplied by (1 + cv^2) / 2, after Lee and Longton (1959). Exact for one server
    /// (Pollaczek and Khinchine).
    pub fn mean_wait(&self) -> f64 {
        let rho = self.utilization();
        if rho >= 1.0 {
            return f64::INFINITY;
        }
        let exponential =
            self.wait_probability() * self.mean / (f64::from(self.servers.max(1)) * (1.0 - rho));
        exponential * (1.0 + self.cv2) / 2.0
    }

    /// The probability of a wait longer than `t`. The wait of those arrivals that wait at all is taken as exponential
    /// with their mean.
    pub fn wait_exceeds(&self, t: f64) -> f64 {
        if t < 0.0 {
            return 1.0;
        }
        let wait_probability = self.wait_probability();
        if wait_probability <= 0.0 {
            return 0.0;
        }
        if self.utilization() >= 1.0 {
            return 1.0;
        }
        wait_probability * (-t * wait_probability / self.mean_wait()).exp()
    }

    /// The probability that a response to work with this service time takes longer than `t`: the mean over the
    /// quantiles of the service time.
    pub fn response_exceeds(&self, service: &ServiceTime, t: f64) -> f64 {
        let quantiles = service.quantiles();
        quantiles.iter().map(|s| self.wait_exceeds(t - s)).sum::<f64>() / quantiles.len() as f64
    }
}

/// The lognormal service time of one kind of work, as quantiles in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTime {
    quantiles: [f64; QUANTILES],
}

impl ServiceTime {
    /// A service time with this mean, in seconds, and this squared coefficient of variation.
    pub fn new(mean: f64, cv2: f64) -> ServiceTime {
        let sigma2 = (1.0 + cv2.max(0.0)).ln();
        let (mu, sigma) = (mean.max(1e-9).ln() - sigma2 / 2.0, sigma2.sqrt());
        ServiceTime { quantiles: NORMAL_QUANTILES.map(|z| (mu + sigma * z).exp()) }
    }

    fn quantiles(&self) -> &[f64] {
        &self.quantiles
    }
}

/// Combines several kinds of work, each given as (rate, mean, cv2), into one station: the rates add up, and the first
/// and second moments of the service time are weighted by rate.
pub fn mixed(servers: u32, parts: impl Iterator<Item = (f64, f64, f64)>) -> Station {
    let (mut rate, mut first_moment, mut second_moment) = (0.0, 0.0, 0.0);
    for (part_rate, mean, cv2) in parts.filter(|p| p.0 > 0.0) {
        rate += part_rate;
        first_moment += part_rate * mean;
        second_moment += part_rate * mean * mean * (1.0 + cv2);
    }
    let mean = if rate > 0.0 { first_moment / rate } else { 0.0 };
    let cv2 = if mean > 0.0 { (second_moment / rate / (mean * mean) - 1.0).max(0.0) } else { 0.0 };
    Station { servers, rate, mean, cv2 }
}
