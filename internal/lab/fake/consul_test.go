package fake

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
)

// The responses have the format of Consul's API, byte for byte.
func TestConsulHandler_RespondsWithTheKeysOfTheAPI(t *testing.T) {
	handler := ConsulHandler("s", []Instance{{ID: "i", Addr: netip.MustParseAddrPort("127.0.0.1:5")}})
	for path, want := range map[string]string{
		"/v1/catalog/service/s": `[{"Node":"emulated","Address":"127.0.0.1","Datacenter":"dc1",` +
			`"ServiceID":"i","ServicePort":5}]` + "\n",
		"/v1/health/service/s": `[{"Node":{"Node":"emulated"},"Service":{"ID":"i"},` +
			`"Checks":[{"CheckID":"serfHealth","Status":"passing"}]}]` + "\n",
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if got := w.Body.String(); got != want {
			t.Errorf("%s: %s, want %s", path, got, want)
		}
	}
}
