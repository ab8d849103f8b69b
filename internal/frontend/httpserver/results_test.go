package httpserver

import (
	"bytes"
	"strings"
	"testing"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/timerqueue"
)

func TestPaginate_StartsAPageWhereTheNextPartExceedsIt(t *testing.T) {
	const half = maxPageSize / 2
	for name, test := range map[string]struct {
		parts []int // bytes of each part
		want  []int // parts of each page
	}{
		"empty":                    {nil, nil},
		"one page":                 {[]int{half, half}, []int{2}},
		"two pages":                {[]int{half, half, 1}, []int{2, 1}},
		"a part larger than pages": {[]int{maxPageSize + 1, 1}, []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			var rows lineclient.Rows
			total := 0
			for _, size := range test.parts {
				rows = append(rows, bytes.Repeat([]byte("r"), size))
				total += size
			}
			pages, size := paginate(rows)
			if size != total || len(pages) != len(test.want) {
				t.Fatalf("%d pages of %d bytes, want %d of %d", len(pages), size, len(test.want), total)
			}
			for i, page := range pages {
				if len(page) != test.want[i] {
					t.Errorf("page %d has %d parts, want %d", i, len(page), test.want[i])
				}
			}
		})
	}
}

func TestResultStore_ServesPagesUntilReleased(t *testing.T) {
	store := newResultStore(timerqueue.New(), 10)
	pages := []lineclient.Rows{{[]byte("a")}, {[]byte("b")}, {[]byte("c")}}
	path, ok := store.add(pages, 10)
	if !ok {
		t.Fatal("a result within the budget was rejected")
	}
	if _, ok := store.add(pages, 1); ok {
		t.Error("a result that exceeds the budget was buffered")
	}
	if _, next, ok := store.page(path + "/1"); !ok || next != path+"/2" || store.allServed() {
		t.Errorf("page 1: next %q, %v, all served %v", next, ok, store.allServed())
	}
	if _, next, ok := store.page(path + "/2"); !ok || next != "" || !store.allServed() {
		t.Errorf("page 2: next %q, %v, all served %v", next, ok, store.allServed())
	}
	for _, page := range []string{"/0", "/3", "/x"} {
		if _, _, ok := store.page(path + page); ok {
			t.Errorf("page %s was served", page)
		}
	}
	if !store.release(path) || store.release(path) {
		t.Error("the result was not released exactly once")
	}
	if _, ok := store.add(pages, 10); !ok {
		t.Error("the bytes of a released result stay reserved")
	}
}

// Guards against a client that gets the rows of another client's request: the path of a result must not follow from the
// path of another one.
func TestResultStore_PathsDoNotFollowFromEachOther(t *testing.T) {
	const results = 100
	store := newResultStore(timerqueue.New(), results)
	pages := []lineclient.Rows{{[]byte("a")}, {[]byte("b")}}
	secrets := map[string]bool{}
	for number := range results {
		path, ok := store.add(pages, 1)
		secret, suffix, _ := strings.Cut(strings.TrimPrefix(path, resultsPrefix), "-")
		if !ok || secrets[secret] || len(secret) != 2*resultSecretSize {
			t.Fatalf("path %q, %v", path, ok)
		}
		for earlier := range secrets {
			if _, _, found := store.page(resultsPrefix + earlier + "-" + suffix + "/1"); found {
				t.Fatalf("result %d has another path with the secret %s", number, earlier)
			}
		}
		secrets[secret] = true
	}
}
