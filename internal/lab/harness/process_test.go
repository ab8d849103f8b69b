package harness

import (
	"net"
	"testing"
)

// A process can listen at the address even if another listener occupies its port on 127.0.0.1, which has
// made tests flaky.
func TestFreeAddr_AddressStaysFreeWhileItsPortIsTaken(t *testing.T) {
	address, err := FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}
