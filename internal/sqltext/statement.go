package sqltext

import "strings"

// LeadingComment returns the text of the comment at the beginning of a statement, without the comment's
// delimiters. Only white space may precede the comment. ok is false if the statement does not begin with a
// complete comment.
func LeadingComment(stmt string) (text string, ok bool) {
	stmt = strings.TrimLeft(stmt, " \t\r\n\f\v")
	switch {
	case strings.HasPrefix(stmt, "--"):
		end := lineCommentEnd(stmt, commentDelimiterLength)
		return strings.TrimSpace(stmt[commentDelimiterLength:end]), true
	case strings.HasPrefix(stmt, "/*"):
		end, ok := blockCommentEnd(stmt, 0)
		if !ok {
			return "", false
		}
		return strings.TrimSpace(stmt[commentDelimiterLength : end-commentDelimiterLength]), true
	}
	return "", false
}

// noWord is returned in place of the first word of a statement that does not begin with an unquoted word.
const noWord = "("

// statementTracker finds the first word of a text, and whether the text contains more than one statement.
type statementTracker struct {
	firstWord string // as written; noWord: the text begins with another kind of token; "": no token so far
	ended     bool   // the first statement has ended
	multiple  bool
}

// addToken updates the tracker with the next token of the text.
func (s *statementTracker) addToken(l *Lexer, t Token) {
	switch {
	case t.Kind == Semicolon:
		s.ended = s.firstWord != ""
	case s.ended:
		s.multiple = true
	case s.firstWord != "":
	case t.Kind == Identifier:
		s.firstWord = l.Text(t)
	default:
		s.firstWord = noWord
	}
}

// FirstWord returns the first word of a statement in upper case, and whether the text contains more
// than one statement. Comments before the word are skipped. If the statement does not begin with an unquoted
// word, "(" is returned as the word. The word is empty if the text contains no statement.
func FirstWord(stmt string) (word string, multiple bool) {
	l := Lexer{Src: stmt}
	var statements statementTracker
	for t := l.Next(); t.Kind != EndOfText && !statements.multiple; t = l.Next() {
		statements.addToken(&l, t)
	}
	return strings.ToUpper(statements.firstWord), statements.multiple
}

// SkipComments returns the statement without leading white space and comments.
func SkipComments(stmt string) string {
	l := Lexer{Src: stmt}
	l.skipSpace()
	return l.Src[l.Pos:]
}

// HasTokenPrefix reports whether a statement begins with the tokens of prefix. It ignores white space,
// comments, and the case of key words and unquoted names. It returns false if prefix contains no token.
func HasTokenPrefix(stmt, prefix string) bool {
	statementLexer := Lexer{Src: stmt}
	prefixLexer := Lexer{Src: prefix}
	for matched := 0; ; matched++ {
		want := prefixLexer.Next()
		if want.Kind == EndOfText {
			return matched > 0
		}
		got := statementLexer.Next()
		if got.Kind != want.Kind || !sameText(got.Kind, statementLexer.Text(got), prefixLexer.Text(want)) {
			return false
		}
	}
}

// sameText reports whether the texts of two tokens of the same kind are equivalent.
func sameText(kind Kind, a, b string) bool {
	return a == b || kind == Identifier && strings.EqualFold(a, b)
}
