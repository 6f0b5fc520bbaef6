//! Names that occur many times, kept once.

use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Beyond so many names, further ones are not kept: hostile input may hold any number.
const MAX_NAMES: usize = 65_536;

/// Hands out one copy of each name.
#[derive(Clone, Debug, Default)]
pub struct NameInterner(FxHashMap<String, Arc<str>>);

impl NameInterner {
    /// The shared copy of a name.
    pub fn name(&mut self, text: &str) -> Arc<str> {
        if let Some(name) = self.0.get(text) {
            return name.clone();
        }
        let name: Arc<str> = text.into();
        if self.0.len() < MAX_NAMES {
            self.0.insert(text.to_string(), name.clone());
        }
        name
    }
}
