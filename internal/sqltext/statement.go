package sqltext

import "strings"

// LeadingComment returns the text of the comment that a statement begins with, if it does.
// Only white space may precede it.
func LeadingComment(stmt string) (text string, ok bool) {
	s := strings.TrimLeft(stmt, " \t\r\n\f\v")
	switch {
	case strings.HasPrefix(s, "--"):
		return strings.TrimSpace(s[2:lineCommentEnd(s, 2)]), true
	case strings.HasPrefix(s, "/*"):
		end, ok := blockCommentEnd(s, 0)
		if !ok {
			return "", false
		}
		return strings.TrimSpace(s[2 : end-2]), true
	}
	return "", false
}

// noWord is returned in place of a first word in a statement that begins with another token.
const noWord = "("

// FirstWord returns the first word of a statement in upper case, comments aside, and
// whether the text holds more than one statement. Where the statement begins with no word,
// the word is "(".
func FirstWord(stmt string) (word string, several bool) {
	l := Lexer{Src: stmt}
	ended := false
	for t := l.Next(); t.Kind != EndOfText; t = l.Next() {
		switch {
		case t.Kind == Semicolon:
			ended = word != ""
		case ended:
			return word, true
		case word == "" && t.Kind == Identifier:
			word = strings.ToUpper(l.Text(t))
		case word == "":
			word = noWord
		}
	}
	return word, false
}

// SkipComments returns the statement without leading white space and comments.
func SkipComments(stmt string) string {
	l := Lexer{Src: stmt}
	l.skipSpace()
	return l.Src[l.Pos:]
}

// HasTokenPrefix reports whether a statement begins with the tokens of a non-empty prefix. White
// space and comments don't count, nor does case in key words and unquoted names.
func HasTokenPrefix(stmt, prefix string) bool {
	statementLexer, prefixLexer := Lexer{Src: stmt}, Lexer{Src: prefix}
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

// sameText compares the texts of two tokens of one kind.
func sameText(kind Kind, a, b string) bool {
	return a == b || kind == Identifier && strings.EqualFold(a, b)
}
