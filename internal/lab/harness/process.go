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
	// shutdownLimit is how long a graceful shutdown may take; flaxrelay bounds its own below it.
	shutdownLimit = 8 * time.Second
	// dialLimit bounds one attempt to connect.
	dialLimit = time.Second
	// dialInterval is the pause between attempts to connect.
	dialInterval = 50 * time.Millisecond
)

// ErrNotListening says that nothing listens at an address.
var ErrNotListening = errors.New("nothing listens")

// Build builds flaxrelay into a folder and returns its path.
func Build(ctx context.Context, root, dir string) (string, error) {
	program := filepath.Join(dir, "flaxrelay")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/flaxrelay")
	build.Dir, build.Stderr = root, os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build of flaxrelay (start this from the repository's root, or name a program): %w", err)
	}
	return program, nil
}

// Proxy is one process of flaxrelay.
type Proxy struct {
	Process *os.Process
	Exited  chan error // receives the end of the process, once

	done chan struct{} // closed when the process has ended
}

// Start starts flaxrelay, without the environment variables that would change its settings.
func Start(program string, out io.Writer, args ...string) (*Proxy, error) {
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN=")
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("harness: %w", err)
	}
	p := &Proxy{Process: cmd.Process, Exited: make(chan error, 1), done: make(chan struct{})}
	go func() {
		p.Exited <- cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Stop ends the process by a graceful shutdown, and by force where that takes too long.
func (p *Proxy) Stop() {
	_ = p.Process.Signal(syscall.SIGTERM) // a process that has ended needs none
	select {
	case <-p.done:
	case <-time.After(shutdownLimit):
		_ = p.Process.Kill()
		<-p.done
	}
}

// WaitUntilListening waits until something listens at an address.
func WaitUntilListening(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: dialLimit}
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

// FreeAddr returns a loopback address at which nothing listens. Its host is drawn at random
// from 127.64.0.0/10, of which nothing else makes use: a port of 127.0.0.1 could be taken
// by any connection between here and the start of the process that is to listen there.
func FreeAddr() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
	listener, err := fake.Listen(net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
