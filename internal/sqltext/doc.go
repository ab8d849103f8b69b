// Package sqltext analyzes the text of a SQL statement. It returns what a front end needs to route the statement
// and to estimate its cost: whether the statement may write, which data set it touches, its normal form and the
// properties of its values. The package splits the text into tokens by PostgreSQL's lexical rules and does not parse
// SQL.
//
// # Use
//
// An Analyzer computes all results in one pass over the tokens. An Analysis describes the statement; a Profile
// describes the values of one execution of the statement:
//
//	analyzer := sqltext.NewAnalyzer()
//	analysis := analyzer.AnalyzeAndClassify(stmt, readOnlyFunctions)
//	profile := analysis.Profile(stmt, binds, seed)
//
// A caller that needs only one of the results can use a function instead: EffectOf, DatasetOf, FirstWord,
// LeadingComment, SkipComments or HasTokenPrefix.
//
// All functions take time linear in the length of the text. Most statements are analyzed without allocating
// memory: the functions allocate only for the buffer of an Analyzer, for strings that differ from the text, such as a
// name in lower case, and for copies of bound values.
//
// # Files
//
// The files, in the order in which they are best read:
//
//   - token.go and lexer.go: tokens, and the Lexer that finds them. Each of the other lexer files scans one kind
//     of token. chars.go, keywords.go and keyword_table.go contain the tables of the lexer.
//   - statement.go and dataset.go: the simple functions on tokens.
//   - effect.go: EffectOf. effect_classifier.go tracks the structure of the statement, effect_call.go recognizes
//     calls of functions, effect_cte.go recognizes the names of common table expressions, and readonly.go lists
//     the functions and operators that are known to be read-only.
//   - analysis.go and analyzer.go: the Analysis and how the Analyzer computes it. pass.go passes each token
//     to the normal form (normalform.go, fingerprint.go), the features and the slots. Each of the other pass files
//     handles one kind of token, except pass_lists.go, which folds lists.
//   - profile.go: the Profile of one execution. bucket.go packs a Profile into a number, binds.go finds the value
//     of a slot, and the value files parse and hash that value.
//
// # Lexical rules
//
// The rules are those of PostgreSQL's src/backend/parser/scan.l, as documented in chapter 4.1 ("Lexical
// Structure") of the PostgreSQL manual. Some rules depend on the version of PostgreSQL, such as the rule for a letter
// directly after a number. Others depend on a setting, such as the rule for a backslash before a quote. In these cases
// the package follows the interpretation that hides the least text from the classifier.
package sqltext
