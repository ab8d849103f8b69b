// Package sqltext extracts from the text of a statement what a front end needs to route it and to estimate
// its cost: whether it may write, which data set it touches, its normal form and the properties of its
// values. It splits the text into tokens by PostgreSQL's lexical rules and does not parse SQL.
//
// # Use
//
// An Analyzer does everything in one pass over the tokens. The result is about the statement; a Profile is
// about the values of one of its executions:
//
//	analyzer := sqltext.NewAnalyzer()
//	analysis := analyzer.AnalyzeAndClassify(stmt, readOnlyFunctions)
//	profile := analysis.Profile(stmt, binds, seed)
//
// A caller that needs only one result uses a function: EffectOf, DatasetOf, FirstWord, LeadingComment,
// SkipComments or HasTokenPrefix.
//
// All functions take time linear in the length of the text. They allocate nothing except results that are
// new strings.
//
// # Files
//
// In an order to read them:
//
//   - token.go and lexer.go: tokens, and the Lexer that finds them. The other lexer files scan one kind of
//     token each. chars.go, keywords.go and keyword_table.go are its tables.
//   - statement.go and dataset.go: the simple functions on tokens.
//   - effect.go: EffectOf. effect_classifier.go follows the statement, effect_call.go recognizes calls of
//     functions, effect_cte.go the names of common table expressions, and readonly.go lists what is known
//     to be read-only.
//   - analysis.go and analyzer.go: the Analysis and how the Analyzer computes it. pass.go passes each token
//     to the normal form (normalform.go, fingerprint.go), the features and the slots; the other pass files
//     handle one kind of token or, in pass_lists.go, the folding of lists.
//   - profile.go: the Profile of one execution. bucket.go packs it into a number, binds.go finds the value of
//     a slot, and the value files parse and hash it.
//
// # Lexical rules
//
// The rules are those of src/backend/parser/scan.l, as documented in chapter 4.1 ("Lexical
// Structure") of the PostgreSQL manual. If versions differ (a number followed by a letter, a
// backslash before a quote), the package follows the interpretation that hides the least text
// from the classifier.
package sqltext
