package fake

import (
	"net"
	"net/http/httptest"
	"testing"
)

// The stand-in's answers have the keys of Consul's API, to the byte.
func TestConsul_AnswersHaveTheKeysOfTheAPI(t *testing.T) {
	h := ConsulHandler("s", []Instance{{ID: "i", Addr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 5}}})
	for path, want := range map[string]string{
		"/v1/catalog/service/s": `[{"Node":"emulated","Address":"127.0.0.1","Datacenter":"dc1","ServiceID":"i","ServicePort":5}]` + "\n",
		"/v1/health/service/s":  `[{"Node":{"Node":"emulated"},"Service":{"ID":"i"},"Checks":[{"CheckID":"serfHealth","Status":"passing"}]}]` + "\n",
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		if got := w.Body.String(); got != want {
			t.Errorf("%s: %s, want %s", path, got, want)
		}
	}
}
