//! The report as a self-contained HTML page.

use super::Report;
use crate::failure::Failure;
use std::fmt::Write;

const STYLE: &str = "body{font:14px/1.4 sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:2px 8px;\
text-align:right}td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}\
svg{max-width:100%;height:auto}";

impl Report {
    /// Returns the report as an HTML page.
    pub fn html(&self) -> Result<String, Failure> {
        let mut page = format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Service-level report</title><style>{STYLE}</style></head><body>\n\
             <h1>Service-level report</h1>\n<p>{}</p>\n",
            escape(&Self::scope())
        );
        for (title, rows) in self.tables() {
            let _ = writeln!(page, "<h2>{}</h2>", escape(&title));
            page.push_str(&html_table(&rows));
        }
        for plot in [self.plot_requests()?, self.plot_burn()?, self.plot_steps()?] {
            let _ = writeln!(page, "<figure>{plot}</figure>");
        }
        page.push_str("<h2>Coverage</h2>\n<ul>\n");
        for line in self.coverage() {
            let _ = writeln!(page, "<li>{}</li>", escape(&line));
        }
        page.push_str("</ul>\n</body></html>\n");
        Ok(page)
    }
}

/// Formats rows as an HTML table. The first row is the header.
fn html_table(rows: &[Vec<String>]) -> String {
    let mut html = String::from("<table>\n");
    for (index, row) in rows.iter().enumerate() {
        let tag = if index == 0 { "th" } else { "td" };
        html.push_str("<tr>");
        for value in row {
            let _ = write!(html, "<{tag}>{}</{tag}>", escape(value));
        }
        html.push_str("</tr>\n");
    }
    html.push_str("</table>\n");
    html
}

/// Escapes the characters that have a meaning in HTML.
fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
