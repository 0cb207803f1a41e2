//! Lines of the log whose fields are known only as they are told.

use log::kv::{Key, Source, ToValue, Value, VisitSource};
use log::{Level, Record};

/// Fields whose names are known only as they are told.
pub struct Fields(pub Vec<(String, u64)>);

impl Source for Fields {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), log::kv::Error> {
        self.0
            .iter()
            .try_for_each(|(name, number)| visitor.visit_pair(Key::from_str(name), number.to_value()))
    }

    fn get(&self, key: Key<'_>) -> Option<Value<'_>> {
        self.0.iter().find(|(name, _)| name == key.as_str()).map(|(_, number)| number.to_value())
    }
}

/// Logs a line with such fields.
pub fn tell(level: Level, target: &str, message: &str, fields: &Fields) {
    let arguments = format_args!("{message}");
    log::logger()
        .log(&Record::builder().args(arguments).level(level).target(target).key_values(fields).build());
}
