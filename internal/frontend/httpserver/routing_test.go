package httpserver

import (
	"net/http"
	"testing"
)

func TestRouteOf_DependsOnMethodAndPath(t *testing.T) {
	for _, test := range []struct {
		method     string
		path       string
		want       route
		wantStatus int // of the error; 0: none
	}{
		{http.MethodGet, "/health", routeHealth, 0},
		{http.MethodPost, "/health", 0, http.StatusNotFound},
		{http.MethodGet, "/health/", 0, http.StatusNotFound},
		{http.MethodPost, "/rpc/lookup", routeStatement, 0},
		{http.MethodGet, "/rpc/lookup", 0, http.StatusMethodNotAllowed},
		{http.MethodPost, "/rpc", 0, http.StatusNotFound},
		{http.MethodGet, "/more/x-1/1", routePage, 0},
		{http.MethodDelete, "/more/x-1/1", routeRelease, 0},
		{http.MethodPost, "/more/x-1/1", 0, http.StatusNotFound},
		{http.MethodGet, "/", 0, http.StatusNotFound},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			got, err := routeOf(test.method, test.path)
			status := 0
			if err != nil {
				status = err.status
			}
			if got != test.want || status != test.wantStatus {
				t.Errorf("route %d, status %d; want %d, %d", got, status, test.want, test.wantStatus)
			}
		})
	}
}
