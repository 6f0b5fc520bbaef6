//! The operator's configuration at the head: which orders (`PUT /config`, `PATCH /config`) are taken.
//!
//! Orders are decided one at a time, in the order they came in: while one is being written the others wait. So an
//! order never meets a version that may still be lost, and the same order sent again waits for the write of the first.
//! An order that was taken is remembered by its digest and acknowledged anew whatever the version has become. One that may
//! have been forgotten is never refused: it is left without a clear answer.

use indigofold_protocol::config::Config;
use indigofold_protocol::config_check::{CheckedConfig, ConfigError, parse_config, parse_if_match};
use indigofold_protocol::config_patch::apply_patch;
use indigofold_protocol::order_digest::OrderDigest;
use snafu::{OptionExt, ResultExt, Snafu};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Key of the row that holds the newest configuration, as text.
pub const CONFIG_KEY: &str = "config";
/// Keys of the rows that remember orders taken begin so; the digest follows.
pub const ORDER_KEY_PREFIX: &str = "order/";
/// So many orders taken are remembered, the newest.
pub const ORDERS_KEPT: usize = 2_000;

/// How an order changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// `PUT`: the whole configuration.
    Put,
    /// `PATCH`: named items of it.
    Patch,
}

impl OrderKind {
    /// The method that carries it.
    pub fn method(self) -> &'static str {
        match self {
            OrderKind::Put => "PUT",
            OrderKind::Patch => "PATCH",
        }
    }
}

/// An operator's order as it came in.
#[derive(Clone, Debug)]
pub struct Order {
    /// How it changes the configuration.
    pub kind: OrderKind,
    /// The `If-Match` header, where there is one.
    pub if_match: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Names one call of the operator until it is answered; chosen by the caller.
pub type CallId = u64;

/// What an operator's call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200: the order is taken and the configuration of this version was committed.
    Taken {
        /// The version.
        version: u64,
    },
    /// 400: what is wrong, where, and what is allowed.
    Invalid {
        /// The text.
        reason: String,
    },
    /// 412: another version is current.
    OtherVersion {
        /// That version.
        current: u64,
    },
    /// 503: it is not known whether the order is taken.
    Unclear,
    /// 503: orders on so old a version are no longer remembered, so that this one may have been taken.
    Forgotten {
        /// Orders that became this version or a later one are remembered.
        remembered_from: u64,
    },
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The row's key.
    pub key: String,
    /// Its new value; `None` removes it.
    pub value: Option<Vec<u8>>,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write these rows in one batch, then report [`ConfigAuthority::committed`] or [`ConfigAuthority::aborted`].
    Write(Vec<RowChange>),
    /// This configuration is in force from now on.
    InForce(Arc<Config>),
    /// Answer this call.
    Reply(CallId, Answer),
}

/// A row on disk that is not as this program writes it.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The configuration on disk is not valid.
    #[snafu(display("the row `{CONFIG_KEY}` holds no valid configuration: {source}"))]
    Config {
        /// Why.
        source: ConfigError,
    },
    /// A remembered order has no version.
    #[snafu(display("the row `{key}` holds no version: 8 bytes are expected"))]
    Order {
        /// Its key.
        key: String,
    },
}

/// A configuration: as it was sent, and as the schedulers use it.
struct Current {
    checked: CheckedConfig,
    config: Arc<Config>,
}

impl From<CheckedConfig> for Current {
    fn from(checked: CheckedConfig) -> Self {
        Current {
            config: Arc::new(checked.config().clone()),
            checked,
        }
    }
}

/// The order that is being written.
struct Writing {
    call: CallId,
    digest: String,
    forgotten: Option<u64>,
    next: Current,
}

/// Decides the operator's orders; see the module.
#[derive(Default)]
pub struct ConfigAuthority {
    current: Option<Current>,
    /// Digests of the orders taken, by the version that each became.
    orders: BTreeMap<u64, String>,
    writing: Option<Writing>,
    waiting: VecDeque<(CallId, Order)>,
}

impl ConfigAuthority {
    /// The authority of a new head, from the rows on disk (others than its own are skipped).
    pub fn load<'a>(
        rows: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> Result<Self, LoadError> {
        let mut authority = ConfigAuthority::default();
        for (key, value) in rows {
            if key == CONFIG_KEY {
                authority.current = Some(parse_config(value).context(ConfigSnafu)?.into());
            } else if let Some(digest) = key.strip_prefix(ORDER_KEY_PREFIX) {
                let bytes = value.try_into().ok().context(OrderSnafu { key })?;
                authority
                    .orders
                    .insert(u64::from_be_bytes(bytes), digest.to_owned());
            }
        }
        Ok(authority)
    }

    /// The newest committed configuration.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.current.as_ref().map(|c| &c.config)
    }

    /// The newest committed configuration as text.
    pub fn text(&self) -> Option<&[u8]> {
        self.current.as_ref().map(|c| c.checked.json().as_bytes())
    }

    /// Version of the newest committed configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.config().map_or(0, |c| c.version)
    }

    /// Takes up an order of the operator.
    pub fn order(&mut self, call: CallId, order: Order, effects: &mut Vec<Effect>) {
        self.waiting.push_back((call, order));
        self.decide_waiting(effects);
    }

    /// The write asked for is on disk at all members of the chain.
    pub fn committed(&mut self, effects: &mut Vec<Effect>) {
        let Some(Writing {
            call,
            digest,
            forgotten,
            next,
        }) = self.writing.take()
        else {
            return;
        };
        if let Some(oldest) = forgotten {
            self.orders.remove(&oldest);
        }
        let version = next.config.version;
        self.orders.insert(version, digest);
        effects.push(Effect::InForce(Arc::clone(&next.config)));
        self.current = Some(next);
        effects.push(Effect::Reply(call, Answer::Taken { version }));
        self.decide_waiting(effects);
    }

    /// The write asked for may or may not hold: this member is no longer the head.
    pub fn aborted(&mut self, effects: &mut Vec<Effect>) {
        let calls = self.writing.take().map(|w| w.call);
        let calls = calls
            .into_iter()
            .chain(self.waiting.drain(..).map(|(call, _)| call));
        effects.extend(calls.map(|call| Effect::Reply(call, Answer::Unclear)));
    }

    /// Decides the orders that wait, up to the first that is to be written.
    fn decide_waiting(&mut self, effects: &mut Vec<Effect>) {
        while self.writing.is_none() {
            let Some((call, order)) = self.waiting.pop_front() else {
                return;
            };
            match self.decide(&order) {
                Ok((digest, next)) => self.write(call, digest, next, effects),
                Err(answer) => effects.push(Effect::Reply(call, answer)),
            }
        }
    }

    /// What an order leads to: a configuration to write, or an answer at once.
    fn decide(&self, order: &Order) -> Result<(String, Current), Answer> {
        let builds_on = parse_if_match(order.if_match.as_deref()).map_err(invalid)?;
        // Quotes and spaces around the version make no other order of it.
        let digest = OrderDigest::of(
            order.kind.method(),
            Some(&builds_on.to_string()),
            &order.body,
        )
        .to_string();
        if let Some(version) = self.taken_as(&digest) {
            return Err(Answer::Taken { version });
        }
        if let Some(remembered_from) = self.forgotten_before().filter(|&oldest| builds_on < oldest)
        {
            return Err(Answer::Forgotten { remembered_from });
        }
        let current = self.version();
        if builds_on != current {
            return Err(Answer::OtherVersion { current });
        }
        let next = self.next(order).map_err(invalid)?;
        next.ensure_newer_than(current).map_err(invalid)?;
        Ok((digest, next.into()))
    }

    /// The oldest version whose order is remembered, once older ones may have been forgotten.
    fn forgotten_before(&self) -> Option<u64> {
        self.orders
            .first_key_value()
            .filter(|_| self.orders.len() >= ORDERS_KEPT)
            .map(|(version, _)| *version)
    }

    /// The version that an order with this digest was taken as.
    fn taken_as(&self, digest: &str) -> Option<u64> {
        self.orders
            .iter()
            .find(|(_, taken)| *taken == digest)
            .map(|(version, _)| *version)
    }

    /// The configuration that follows from an order.
    fn next(&self, order: &Order) -> Result<CheckedConfig, ConfigError> {
        match (order.kind, &self.current) {
            (OrderKind::Patch, Some(current)) => apply_patch(&current.checked, &order.body),
            _ => parse_config(&order.body),
        }
    }

    /// Asks for the write of a configuration and of the order that led to it.
    fn write(&mut self, call: CallId, digest: String, next: Current, effects: &mut Vec<Effect>) {
        let version = next.config.version.to_be_bytes().to_vec();
        let mut rows = vec![
            RowChange {
                key: CONFIG_KEY.to_owned(),
                value: Some(next.checked.json().as_bytes().to_vec()),
            },
            RowChange {
                key: order_key(&digest),
                value: Some(version),
            },
        ];
        let full = self.orders.len() >= ORDERS_KEPT;
        let forgotten = self
            .orders
            .first_key_value()
            .filter(|_| full)
            .map(|(version, _)| *version);
        let key = forgotten
            .and_then(|version| self.orders.get(&version))
            .map(|digest| order_key(digest));
        rows.extend(key.map(|key| RowChange { key, value: None }));
        self.writing = Some(Writing {
            call,
            digest,
            forgotten,
            next,
        });
        effects.push(Effect::Write(rows));
    }
}

/// The answer to an order that is wrong.
fn invalid(error: ConfigError) -> Answer {
    Answer::Invalid {
        reason: error.to_string(),
    }
}

/// Key of the row that remembers an order taken.
fn order_key(digest: &str) -> String {
    format!("{ORDER_KEY_PREFIX}{digest}")
}
