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
	// shutdownTimeout limits a graceful shutdown. It is higher than flaxrelay's own limit.
	shutdownTimeout = 8 * time.Second
	// dialTimeout limits one attempt to connect.
	dialTimeout = time.Second
	// dialInterval is the pause between attempts to connect.
	dialInterval = 50 * time.Millisecond
)

// ErrNotListening reports that nothing listens at an address.
var ErrNotListening = errors.New("nothing listens")

// Build builds flaxrelay into a directory and returns the path of the program.
func Build(ctx context.Context, root, dir string) (string, error) {
	program := filepath.Join(dir, "flaxrelay")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/flaxrelay")
	build.Dir = root
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build flaxrelay (run from the root of the repository, or pass a program): %w", err)
	}
	return program, nil
}

// FrontEnd is one process of flaxrelay. Its methods are safe for concurrent use.
type FrontEnd struct {
	Process *os.Process
	Exited  <-chan error // receives one value when the process exits; nil: exit status 0

	done chan struct{} // closed when the process has exited
}

// Start starts flaxrelay. It clears the environment variables that would change the settings.
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

// Stop shuts the process down gracefully. If the process does not exit within shutdownTimeout, Stop kills it.
func (f *FrontEnd) Stop() {
	_ = f.Process.Signal(syscall.SIGTERM) // fails if the process has already exited
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

// FreeAddr returns a loopback address at which nothing listens. Its host is drawn from 127.64.0.0/10, which
// nothing else uses. On 127.0.0.1, another connection could take the port before the caller's process listens
// on it.
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
