//! Parses one line of a node's log.

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Last word before `time=`, such as the node's name that a log collector adds.
    pub prefix: String,
    /// Wall clock time of the node that wrote the line, as written; empty if there is none.
    pub time: String,
    /// Name of the event.
    pub event: String,
    fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line; `None` if a node did not write it.
    ///
    /// ```
    /// use jacinthfall::ops::explain::Line;
    /// let text = "n-1 time=2026-12-03T10:00:00.000Z level=INFO event=node name=n-2";
    /// let line = Line::parse(text).unwrap();
    /// assert_eq!((line.prefix.as_str(), line.event.as_str()), ("n-1", "node"));
    /// assert_eq!(line.text("name"), "n-2");
    /// assert!(Line::parse("panicked at src/main.rs").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Line> {
        let start = text
            .find("time=")
            .filter(|start| *start == 0 || text[..*start].ends_with(char::is_whitespace));
        // Lines that a node keeps in memory have no time.
        let (prefix, rest) = match start {
            Some(start) => text.split_at(start),
            None if text.starts_with("event=") => ("", text),
            None => return None,
        };
        let mut fields = parse_fields(rest)?;
        let mut remove = |name: &str| {
            let position = fields.iter().position(|(other, _)| other == name)?;
            Some(fields.remove(position).1)
        };
        let time = remove("time").unwrap_or_default();
        let event = remove("event")?;
        let prefix = prefix.split_whitespace().last().unwrap_or_default().to_owned();
        Some(Line { prefix, time, event, fields })
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(other, _)| other == name);
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a field, or an empty string if the line lacks it.
    #[must_use]
    pub fn text(&self, name: &str) -> &str {
        self.get(name).unwrap_or_default()
    }

    /// Returns the value of a field as a number, or 0 if it is missing or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> i64 {
        self.text(name).parse().unwrap_or_default()
    }

    /// Returns the wall clock time in milliseconds since midnight; `None` if the line has no
    /// time.
    #[must_use]
    pub fn millis_of_day(&self) -> Option<i64> {
        let clock = self.time.split_once('T')?.1.trim_end_matches('Z');
        let (whole, millis) = clock.split_once('.')?;
        let mut parts = whole.split(':').map(|part| part.parse::<i64>().ok());
        let mut next = || parts.next().flatten();
        let (hours, minutes, seconds) = (next()?, next()?, next()?);
        Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis.parse::<i64>().ok()?)
    }

    /// Returns all fields except time and event, in their order.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// Parses `name=value` fields. Values may be enclosed in quotes or brackets.
fn parse_fields(mut rest: &str) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    loop {
        rest = rest.trim_start();
        if rest.is_empty() {
            return Some(fields);
        }
        let (name, after) = rest.split_once('=')?;
        let (value, after) = match after.chars().next() {
            Some('"') => parse_quoted(&after[1..])?,
            Some('[') => {
                let (value, after) = after[1..].split_once(']')?;
                (value.to_owned(), after)
            }
            _ => {
                let end = after.find(char::is_whitespace).unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        if name.contains(char::is_whitespace) {
            return None;
        }
        fields.push((name.to_owned(), value));
        rest = after;
    }
}

/// Parses a quoted value from behind its opening quote. Returns the unescaped value and the
/// text behind the closing quote.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut escaped = false;
    for (position, character) in text.char_indices() {
        match character {
            _ if escaped => {
                value.push(character);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return Some((value, &text[position + 1..])),
            _ => value.push(character),
        }
    }
    None
}
