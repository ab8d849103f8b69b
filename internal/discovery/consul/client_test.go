package consul

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

func TestQuery_ReturnsWhyAResponseIsUnusable(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		index  string
		body   string
		match  func(error) bool
	}{
		{"status 500", http.StatusInternalServerError, "1", strings.Repeat("é", 2*maxErrorText), func(err error) bool {
			var statusErr *statusError
			return errors.As(err, &statusErr) && statusErr.Body == strings.Repeat("é", maxErrorText)
		}},
		{"body too large", http.StatusOK, "1", strings.Repeat(" ", maxResponseSize+1), func(err error) bool {
			return errors.Is(err, errResponseTooLarge)
		}},
		{"malformed index", http.StatusOK, "x", "[]", func(err error) bool {
			return errors.Is(err, strconv.ErrSyntax)
		}},
		{"malformed body", http.StatusOK, "1", "{", func(err error) bool {
			var syntaxErr *json.SyntaxError
			return errors.As(err, &syntaxErr)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(indexHeader, test.index)
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			t.Cleanup(server.Close)
			opts := Options{Address: strings.TrimPrefix(server.URL, "http://"), Service: "stock"}
			var list []registration
			if _, err := newClient().query(context.Background(), opts, catalogPath, 0, &list); !test.match(err) {
				t.Errorf("error is %v", err)
			}
		})
	}
}
