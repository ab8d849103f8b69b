// Package pages contains the tests of the repository's Markdown pages. The tests check that the links in
// the pages have targets that exist. They also check that the repository contains the paths, tests, Go
// identifiers and settings keys that the pages name. The README must lead to every page, and the
// configuration page must list every key.
package pages

import (
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// pathExtensions are the extensions by which a word without a slash is recognized as the name of a file.
var pathExtensions = []string{".go", ".golden", ".json", ".md", ".sh", ".toml", ".txt", ".yml"}

var (
	link = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	// testMention matches the name of a test, or a prefix of test names that is followed by an asterisk.
	testMention   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*\*?`)
	fencedBlock   = regexp.MustCompile("(?ms)^```[^\n]*\n(.*?)^```")
	indentedLine  = regexp.MustCompile(`(?m)^ {4}(.+)$`)
	codeSpan      = regexp.MustCompile("`([^`]+)`")
	pathForm      = regexp.MustCompile(`^[\w.*-]+(?:/[\w.*-]+)*$`)
	qualifiedName = regexp.MustCompile(`^\w+(?:\.\w+)*$`)
	// mixedCase distinguishes Go identifiers from the names of counters and log events.
	mixedCase = regexp.MustCompile(`[a-z0-9][A-Z]|[A-Z][a-z0-9]+\.|\.[A-Z][a-z0-9]`)
)

// historyPages describe earlier versions of the code. The identifiers that they name need not exist any more.
var historyPages = []string{"docs/postmortems.md", "docs/incidents/"}

// page is a Markdown file, or KNOWN-RED.txt.
type page struct {
	path string
	text string
}

// brokenLinks returns the relative links of the page whose targets do not exist.
func (r *repository) brokenLinks(p page) []string {
	var broken []string
	for _, match := range link.FindAllStringSubmatch(p.text, -1) {
		if strings.Contains(match[1], "://") {
			continue
		}
		file, anchor, hasAnchor := strings.Cut(match[1], "#")
		target := p.path
		if file != "" {
			target = path.Join(path.Dir(p.path), file)
		}
		if !r.paths[target] || hasAnchor && !slices.Contains(r.headings[target], anchor) {
			broken = append(broken, match[1])
		}
	}
	return broken
}

// missingPaths returns the words in the page's code that look like paths of the repository and do not exist.
func (r *repository) missingPaths(p page) []string {
	var missing []string
	for _, word := range codeWords(p.text) {
		if r.looksLikePath(word) && !r.hasPath(word) {
			missing = append(missing, word)
		}
	}
	return missing
}

// codeWords returns the words of the text's code spans and code blocks without the punctuation around them. For an
// assignment, it returns only the value.
func codeWords(text string) []string {
	var words []string
	add := func(code string) {
		for word := range strings.FieldsSeq(code) {
			if _, value, isAssignment := strings.Cut(word, "="); isAssignment {
				word = value
			}
			word = strings.TrimSuffix(word, "...")
			word = strings.Trim(word, `,;:()[]"'`)
			word = strings.TrimPrefix(word, "./")
			words = append(words, strings.TrimSuffix(word, "/"))
		}
	}
	for _, pattern := range []*regexp.Regexp{fencedBlock, indentedLine} {
		for _, match := range pattern.FindAllStringSubmatch(text, -1) {
			add(match[1])
		}
		text = pattern.ReplaceAllString(text, "")
	}
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		add(match[1])
	}
	return words
}

// missingIdentifiers returns the Go identifiers in the page's code that the repository does not declare.
func (r *repository) missingIdentifiers(p page) []string {
	inHistory := func(prefix string) bool { return strings.HasPrefix(p.path, prefix) }
	if slices.ContainsFunc(historyPages, inHistory) {
		return nil
	}
	var missing []string
	for _, word := range codeWords(p.text) {
		isIdentifier := qualifiedName.MatchString(word) && mixedCase.MatchString(word)
		if !isIdentifier || r.looksLikePath(word) || testMention.MatchString(word) {
			continue
		}
		if !r.hasIdentifier(word) {
			missing = append(missing, word)
		}
	}
	return missing
}

// looksLikePath reports whether the word begins with the name of a directory of the repository and a slash, or has no
// slash and one of pathExtensions.
func (r *repository) looksLikePath(word string) bool {
	if !pathForm.MatchString(word) {
		return false
	}
	first, _, hasSlash := strings.Cut(word, "/")
	if hasSlash {
		return r.directoryNames[first]
	}
	return slices.Contains(pathExtensions, path.Ext(word)) && path.Ext(word) != word
}

// missingTests returns the test functions that the page names and that no test file declares.
func (r *repository) missingTests(p page) []string {
	var missing []string
	for _, mention := range testMention.FindAllString(p.text, -1) {
		if !r.hasTest(mention) {
			missing = append(missing, mention)
		}
	}
	return missing
}

// TestPages_NameWhatExists checks the links, paths, tests and identifiers of every page of the repository.
func TestPages_NameWhatExists(t *testing.T) {
	repo, pages := readRepository(t)
	for _, p := range pages {
		for _, target := range repo.brokenLinks(p) {
			t.Errorf("%s: the target of the link %s does not exist", p.path, target)
		}
		for _, word := range repo.missingPaths(p) {
			t.Errorf("%s: the path %s does not exist", p.path, word)
		}
		for _, name := range repo.missingTests(p) {
			t.Errorf("%s: no test is named %s", p.path, name)
		}
		for _, name := range repo.missingIdentifiers(p) {
			t.Errorf("%s: the identifier %s is not declared in the repository", p.path, name)
		}
	}
}

// unlinkedPages returns the pages in docs that the README links neither directly nor by the directory
// that contains them.
func unlinkedPages(readme page, pages []page) []string {
	linked := map[string]bool{}
	for _, match := range link.FindAllStringSubmatch(readme.text, -1) {
		target, _, _ := strings.Cut(match[1], "#")
		linked[target] = true
	}
	var unlinked []string
	for _, p := range pages {
		if strings.HasPrefix(p.path, "docs/") && !linked[p.path] && !linked[path.Dir(p.path)] {
			unlinked = append(unlinked, p.path)
		}
	}
	return unlinked
}

// TestReadme_LeadsToEveryPage checks that a reader of the README finds each page in docs.
func TestReadme_LeadsToEveryPage(t *testing.T) {
	_, pages := readRepository(t)
	index := slices.IndexFunc(pages, func(p page) bool { return p.path == "README.md" })
	if index < 0 {
		t.Fatal("there is no README.md")
	}
	for _, name := range unlinkedPages(pages[index], pages) {
		t.Errorf("README.md has no link to %s", name)
	}
}

func TestUnlinkedPages_CountsLinksToPagesAndDirectories(t *testing.T) {
	readme := page{path: "README.md", text: "[a](docs/a.md#part) [incidents](docs/incidents) `docs/b.md`"}
	pages := []page{
		readme, {path: "docs/a.md"}, {path: "docs/b.md"}, {path: "docs/incidents/first.md"}, {path: "CONTRIBUTING.md"},
	}
	if got := unlinkedPages(readme, pages); !slices.Equal(got, []string{"docs/b.md"}) {
		t.Errorf("unlinked pages %q, want only docs/b.md", got)
	}
}

// TestChecks_ReportOnlyWhatIsMissing runs the checks on pages with known errors.
func TestChecks_ReportOnlyWhatIsMissing(t *testing.T) {
	repo := newRepository()
	repo.addFile("docs/guide.md", "# Set up\n\n## Who's on call, and when\n")
	repo.addFile("docs/incidents/first.md", "# First\n")
	repo.addFile("internal/engine/client.go", "package engine\n\ntype Client struct {\n\tPool\n\tidleTime int\n}\n")
	repo.addFile("internal/engine/pool.go", "package engine\n\ntype Pool struct{}\n\nfunc (p *Pool) Dial() {}\n")
	repo.addFile("internal/engine/client_test.go", "package engine\n\nfunc TestClient_Dials(t *testing.T) {\n")
	repo.addFile("tools/lint/run.sh", "#!/bin/sh\n")

	cases := []struct {
		name  string
		check func(page) []string
		text  string
		want  []string
	}{
		{"link to a page", repo.brokenLinks, "[a](guide.md) [b](incidents/first.md) [c](incidents)", nil},
		{"link elsewhere", repo.brokenLinks, "[a](https://example.org/x.md)", nil},
		{"link to a missing page", repo.brokenLinks, "[a](absent.md)", []string{"absent.md"}},
		{"link relative to the root", repo.brokenLinks, "[a](docs/guide.md)", []string{"docs/guide.md"}},
		{"link to a heading", repo.brokenLinks, "[a](guide.md#whos-on-call-and-when)", nil},
		{"link to a missing heading", repo.brokenLinks, "[a](guide.md#first)", []string{"guide.md#first"}},
		{"path", repo.missingPaths, "`internal/engine/client.go` `tools/lint/`", nil},
		{"path without its first elements", repo.missingPaths, "`engine/client.go`, `client.go`", nil},
		{"path with an asterisk", repo.missingPaths, "`internal/engine/*` `*_test.go`", nil},
		{"path of a command", repo.missingPaths, "`sh tools/lint/run.sh ./internal/engine/...`", nil},
		{"missing file", repo.missingPaths, "`engine/conn.go`", []string{"engine/conn.go"}},
		{"missing directory", repo.missingPaths, "`internal/policy`", []string{"internal/policy"}},
		{"missing file by name", repo.missingPaths, "`conn.go`", []string{"conn.go"}},
		{"missing path in a command", repo.missingPaths, "`sh tools/run.sh`", []string{"tools/run.sh"}},
		{"missing path in a block", repo.missingPaths, "text\n\n    X=tools/x sh\n", []string{"tools/x"}},
		{"missing path in a fence", repo.missingPaths, "```\ntools/y\n```\n", []string{"tools/y"}},
		{"end of a name only", repo.missingPaths, "`ent.go`", []string{"ent.go"}},
		{"other words", repo.missingPaths, "`client.Dial`, `requests.accepted.*`, `text/plain`, `./...`", nil},
		{"identifiers", repo.missingIdentifiers, "`engine.Client`, `Client.idleTime`, `idleTime`", nil},
		{"promoted method", repo.missingIdentifiers, "`engine.Client.Dial`", nil},
		{"method of another type", repo.missingIdentifiers, "`Pool.idleTime`", []string{"Pool.idleTime"}},
		{"missing method", repo.missingIdentifiers, "`Client.Close`", []string{"Client.Close"}},
		{"missing type", repo.missingIdentifiers, "`engine.Conn`", []string{"engine.Conn"}},
		{"missing function", repo.missingIdentifiers, "`dialAgain`", []string{"dialAgain"}},
		{"no identifiers", repo.missingIdentifiers, "`http.closed`, `SIGTERM`, `Busy`, `client.go`, `Client`", nil},
		{"test", repo.missingTests, "TestClient_Dials, `TestClient_*`", nil},
		{"missing tests", repo.missingTests, "TestClient (TestPool_*)", []string{"TestClient", "TestPool_*"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.check(page{path: "docs/page.md", text: c.text})
			if !slices.Equal(got, c.want) {
				t.Errorf("%q: found %q, want %q", c.text, got, c.want)
			}
		})
	}
}
