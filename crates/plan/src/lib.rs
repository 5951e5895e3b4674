//! A capacity model of a fleet: which resource saturates first and at what multiple of the load, how many hosts a goal
//! needs, what an outage does and whether the fleet recovers. The answers depend on the fleet and the load alone: the
//! crate must do no input or output and read no clock.
//!
//! ```
//! use sillfold_plan::queue::Station;
//!
//! // One server, half busy, with exponential service times: the mean wait equals the mean service time.
//! let station = Station { servers: 1, rate: 50.0, mean: 0.01, cv2: 1.0 };
//! assert!((station.mean_wait() - 0.01).abs() < 1e-12);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answers;
pub mod fleet;
pub mod model;
pub mod queue;
