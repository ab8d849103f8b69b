package harness

import (
	"net"
	"testing"
)

// A process can listen at the address even if another listener takes the same port on 127.0.0.1. Addresses
// on 127.0.0.1 made tests flaky for this reason.
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
