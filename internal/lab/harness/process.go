package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"flaxrelay/internal/lab/fake"
)

const (
	// shutdownTimeout limits a graceful shutdown. The limit that flaxrelay sets for itself is lower.
	shutdownTimeout = 8 * time.Second
	// dialTimeout limits one attempt to connect.
	dialTimeout = time.Second
	// dialInterval is the pause between attempts to connect.
	dialInterval = 50 * time.Millisecond
)

// ErrNotListening reports that nothing listens at an address.
var ErrNotListening = errors.New("nothing listens")

// Build builds flaxrelay into a directory and returns its path.
func Build(ctx context.Context, root, dir string) (string, error) {
	program := filepath.Join(dir, "flaxrelay")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/flaxrelay")
	build.Dir = root
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build flaxrelay (run this from the repository's root, or name a program): %w", err)
	}
	return program, nil
}

// FrontEnd is one process of flaxrelay. Its methods are safe for concurrent use.
type FrontEnd struct {
	Process *os.Process
	Exited  <-chan error // receives the exit of the process once, nil for status 0

	done chan struct{} // closed when the process has ended
}

// Start starts flaxrelay, without the environment variables that would change its settings.
func Start(program string, out io.Writer, args ...string) (*FrontEnd, error) {
	cmd := exec.Command(program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN=")
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("harness: %w", err)
	}
	exited := make(chan error, 1)
	f := &FrontEnd{Process: cmd.Process, Exited: exited, done: make(chan struct{})}
	go func() {
		exited <- cmd.Wait()
		close(f.done)
	}()
	return f, nil
}

// Stop ends the process by a graceful shutdown. It kills the process after shutdownTimeout.
func (f *FrontEnd) Stop() {
	_ = f.Process.Signal(syscall.SIGTERM) // fails if the process has already ended
	select {
	case <-f.done:
	case <-time.After(shutdownTimeout):
		_ = f.Process.Kill()
		<-f.done
	}
}

// WaitUntilListening waits until something listens at an address.
func WaitUntilListening(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	for {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("%w at %s", ErrNotListening, addr), ctx.Err())
		case <-time.After(dialInterval):
		}
	}
}

// FreeAddr returns a loopback address at which nothing listens. Its host is drawn from 127.64.0.0/10,
// which nothing else uses. On 127.0.0.1, another connection could occupy the port before the process for
// which the address is drawn listens there.
func FreeAddr() (string, error) {
	const (
		minSecondByte    = 64 // of 127.64.0.0/10
		secondByteValues = 64
		thirdByteValues  = 256
		fourthByteValues = 254 // without 0 and 255
	)
	host := fmt.Sprintf("127.%d.%d.%d",
		minSecondByte+rand.IntN(secondByteValues), rand.IntN(thirdByteValues), 1+rand.IntN(fourthByteValues))
	listener, err := fake.Listen(net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
