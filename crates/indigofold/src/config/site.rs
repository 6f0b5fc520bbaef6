//! A site: the settings of the decision module, and the names of the zones, kinds, classes and tenants in them.

use super::json::Json;
use super::settings::settings;
use super::{Parse, decode, decode_document};
use crate::api::{ClassId, Load, Settings, Time};
use simd_json::OwnedValue;
use simd_json::prelude::*;

/// A table of names in the order of their ids, which count from 0.
#[derive(Clone, Debug, Default)]
pub struct Names(Vec<String>);

impl Names {
    /// Returns the id of a name; an unknown name is added with a new id.
    pub fn id(&mut self, name: &str) -> u32 {
        if let Some(i) = self.find(name) {
            return i;
        }
        self.0.push(name.to_string());
        (self.0.len() - 1) as u32
    }

    /// All names in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// The id of a name; `None` if it is unknown.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.0.iter().position(|n| n == name).map(|i| i as u32)
    }
}

/// The meaning of the site-defined values `x0` and `x1` in load reports.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReportField {
    FreeSlots,
    FreeMemory,
    Other,
}

/// A site's settings, and the names of the ids in them.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings of the decision module, with ids in place of names.
    pub settings: Settings,
    /// Names of the zones.
    pub zones: Names,
    /// Names of the kinds of machines.
    pub kinds: Names,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Names,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Names,
    /// Classes that a reload removed from the settings; they keep their ids.
    pub dropped: Vec<ClassId>,
    /// True if the settings say that the membership is pushed: each scheduler then calls an agent of its own, and must apply
    /// all that the agent has received.
    pub pushed: bool,
    /// A machine closes its idle connections after this long, in microseconds.
    pub idle_timeout: Time,
    fields: [ReportField; 2],
}

impl Site {
    /// Parses the settings object from JSON text.
    ///
    /// # Errors
    ///
    /// As for [`Site::from_value`], and if the text is not JSON.
    pub fn read(mut text: Vec<u8>) -> Parse<Self> {
        let value: OwnedValue = decode_document(&mut text, "the settings must be a JSON object")?;
        Site::from_value(&value)
    }

    /// Reads the settings object.
    ///
    /// # Errors
    ///
    /// A setting is missing or not allowed; the error names the first one and the allowed values.
    pub fn from_value(value: &OwnedValue) -> Parse<Self> {
        let env = Json(Some(value));
        let names = |key: &str, inner: Option<&str>| -> Names {
            let name = |v: Json<'_>| {
                inner
                    .map_or(v, |i| v.at(i))
                    .text()
                    .unwrap_or("")
                    .to_string()
            };
            Names(env.at(key).items().map(name).collect())
        };
        let mut zones = names("zones", None);
        let zone = zones.id(env.at("myZone").text().unwrap_or(""));
        let field = |key: &str| match env.at("domain").at(key).text() {
            Some(t) if t.contains("slot") => ReportField::FreeSlots,
            Some(t) if t.contains("memory") => ReportField::FreeMemory,
            _ => ReportField::Other,
        };
        Ok(Site {
            settings: settings(env, zone)?,
            zones,
            kinds: names("kinds", None),
            classes: names("profiles", Some("name")),
            tenants: names("customers", Some("name")),
            dropped: Vec::new(),
            pushed: false,
            idle_timeout: env.at("policyLimits").number_or("connIdle", 5e6).max(0.0) as Time,
            fields: [field("reportX0"), field("reportX1")],
        })
    }

    /// The class of this name; `None` if the present settings do not have it.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes
            .find(name)
            .filter(|class| !self.dropped.contains(class))
    }

    /// The longest deadline of the classes in the present settings, in microseconds.
    pub fn longest_deadline(&self) -> Time {
        let classes = self.settings.classes.iter().zip(0..);
        classes
            .filter(|(_, id)| !self.dropped.contains(id))
            .map(|(class, _)| class.deadline)
            .max()
            .unwrap_or(0)
    }

    /// Returns the new settings translated to the ids of this site. Known names keep their ids, to which open jobs, metrics
    /// and statistics refer; new names are appended, and a class that was removed keeps its rules.
    pub fn reloaded_with(&self, new: Site) -> Site {
        let mut site = Site {
            settings: new.settings.clone(),
            ..self.clone()
        };
        (site.idle_timeout, site.fields, site.pushed) = (new.idle_timeout, new.fields, new.pushed);
        let map = |old: &mut Names, names: &Names| {
            names.all().map(|name| old.id(name)).collect::<Vec<_>>()
        };
        let (zones, kinds) = (
            map(&mut site.zones, &new.zones),
            map(&mut site.kinds, &new.kinds),
        );
        let (classes, tenants) = (
            map(&mut site.classes, &new.classes),
            map(&mut site.tenants, &new.tenants),
        );
        let at = |ids: &[u32], id: u32| ids.get(id as usize).copied().unwrap_or(id);
        site.settings.zone = at(&zones, new.settings.zone);
        site.settings.classes.clone_from(&self.settings.classes);
        for (id, mut class) in classes.iter().zip(new.settings.classes) {
            class.kind = class.kind.map(|kind| at(&kinds, kind));
            put(&mut site.settings.classes, *id, class);
        }
        site.settings.tenants.clone_from(&self.settings.tenants);
        for (id, tenant) in tenants.iter().zip(new.settings.tenants) {
            put(&mut site.settings.tenants, *id, tenant);
        }
        let all = 0..site.settings.classes.len() as ClassId;
        site.dropped = all.filter(|id| !classes.contains(id)).collect();
        site
    }

    /// Stores one named value of a load report in `load`; an unknown name is ignored.
    pub fn report(&self, load: &mut Load, name: &str, value: f64) {
        let slot = match name {
            "busy_reqs" | "inflight" => &mut load.inflight,
            "pending" | "queue" => &mut load.queue,
            "cpu_share" | "util" => &mut load.busy,
            "served_ps" | "qps" => &mut load.served,
            "failed_ps" | "eps" => &mut load.failed,
            "x0" | "x1" => match self.fields[usize::from(name == "x1")] {
                ReportField::FreeSlots => &mut load.free_slots,
                ReportField::FreeMemory => &mut load.free_memory,
                ReportField::Other => return,
            },
            _ => return,
        };
        *slot = Some(value);
    }
}

/// Stores an entry under its id: replaces the present entry, or appends a new one.
fn put<T>(items: &mut Vec<T>, id: u32, entry: T) {
    match items.get_mut(id as usize) {
        Some(old) => *old = entry,
        None => items.push(entry),
    }
}

impl Site {
    /// Parses a load report in JSON or in the form `TEXT name=value, name=value`; `None` if it is neither.
    pub fn load(&self, text: &[u8]) -> Option<Load> {
        let text = std::str::from_utf8(text).ok()?.trim();
        let mut load = Load::default();
        if let Some(text) = text.strip_prefix("TEXT") {
            for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
                if let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite()) {
                    self.report(&mut load, name.trim(), value);
                }
            }
            return Some(load);
        }
        let value = decode::<OwnedValue>(&mut text.as_bytes().to_vec()).ok()?;
        Some(self.load_value(value.get("load").unwrap_or(&value)))
    }

    /// Reads a load report from a JSON object; values that are not numbers are ignored.
    pub fn load_value(&self, value: &OwnedValue) -> Load {
        let mut load = Load::default();
        for (name, value) in value.as_object().into_iter().flatten() {
            if let Some(value) = Json(Some(value)).number() {
                self.report(&mut load, name, value);
            }
        }
        load
    }
}
