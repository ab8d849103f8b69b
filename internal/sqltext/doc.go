// Package sqltext extracts what the proxy needs of a statement without parsing SQL: its
// tokens by PostgreSQL's lexical rules, what it may do, the dataset that it touches, its
// fingerprint, and what its values indicate of its result's size. All of it is built on one Lexer, takes
// time linear in the length of the text and, apart from results that are strings of their
// own, allocates nothing.
//
// The rules are those of src/backend/parser/scan.l, as documented in chapter 4.1 ("Lexical
// Structure") of the PostgreSQL manual. Where versions differ (a number followed by a
// letter, a backslash before a quote), the package follows the interpretation that hides
// the least.
package sqltext
