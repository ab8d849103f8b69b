// Package sqltext extracts from a statement, without parsing SQL, what the proxy needs:
//
//   - its tokens by PostgreSQL's lexical rules (Lexer);
//   - whether it may write (EffectOf);
//   - the dataset that it touches (DatasetOf);
//   - its normal form with a fingerprint, and features that indicate its cost (Analyzer);
//   - what the values of one execution indicate of the size of its result (Profile).
//
// All functions take time linear in the length of the text. They allocate nothing except results
// that are new strings. An Analyzer does all of it in one pass over the tokens.
//
// The rules are those of src/backend/parser/scan.l, as documented in chapter 4.1 ("Lexical
// Structure") of the PostgreSQL manual. If versions differ (a number followed by a letter, a
// backslash before a quote), the package follows the interpretation that hides the least text
// from the classifier.
package sqltext
