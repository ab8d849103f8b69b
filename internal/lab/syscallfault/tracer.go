package syscallfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// Process is a traced program. Its exported methods are safe for concurrent use. The unexported methods
// must be called on the thread of the tracer.
type Process struct {
	pid      int
	injector *injector
	ended    chan struct{}      // closed when the program has ended
	status   syscall.WaitStatus // valid after ended
	err      error              // of the tracer; valid after ended
}

// Start starts a program and injects the faults into it. Standard output and error go to the given file. The
// seed determines the random numbers that decide which calls fail. The order of the calls depends on the
// scheduling of the program's threads.
func Start(path string, args, env []string, output *os.File, seed uint64, faults Faults) (*Process, error) {
	p := &Process{injector: newInjector(seed, faults), ended: make(chan struct{})}
	started := make(chan error, 1)
	go p.trace(path, args, env, output, started)
	if err := <-started; err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	return p, nil
}

// ID returns the id of the process.
func (p *Process) ID() int { return p.pid }

// Signal sends a signal to the program.
func (p *Process) Signal(signal syscall.Signal) error {
	if err := syscall.Kill(p.pid, signal); err != nil {
		return fmt.Errorf("signal process %d: %w", p.pid, err)
	}
	return nil
}

// SetFaults replaces the faults from the next system call on.
func (p *Process) SetFaults(faults Faults) { p.injector.set(faults) }

// Counts returns the number of injected faults of each kind.
func (p *Process) Counts() map[Kind]int { return p.injector.injectedCounts() }

// Ended returns a channel that is closed when the program has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits until the program has ended and returns its status.
func (p *Process) Wait() (syscall.WaitStatus, error) {
	<-p.ended
	return p.status, p.err
}

// trace starts the program and traces it until it has ended. All ptrace requests must come from the thread
// that started the program.
func (p *Process) trace(path string, args, env []string, output *os.File, started chan<- error) {
	runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
	defer close(p.ended)
	pid, err := syscall.ForkExec(path, append([]string{path}, args...), &syscall.ProcAttr{
		Env:   env,
		Files: []uintptr{0, output.Fd(), output.Fd()},
		Sys:   &syscall.SysProcAttr{Ptrace: true},
	})
	if err != nil {
		started <- err
		return
	}
	p.pid = pid
	if err := p.prepare(); err != nil {
		_ = syscall.Kill(pid, syscall.SIGKILL)
		_, _ = syscall.Wait4(pid, nil, syscall.WALL, nil)
		started <- err
		return
	}
	started <- nil
	p.err = p.run()
}

// run handles the stops of the program's threads until the program has ended.
func (p *Process) run() error {
	for {
		var status syscall.WaitStatus
		thread, err := syscall.Wait4(-1, &status, syscall.WALL|unix.WNOTHREAD, nil)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err != nil:
			return fmt.Errorf("wait: %w", err)
		case status.Exited() || status.Signaled():
			if thread == p.pid {
				p.status = status
				return nil
			}
		case status.Stopped():
			p.resume(thread, status)
		}
	}
}

// resume handles one stop of a thread and continues the thread. It ignores errors of ptrace: such an error
// means that the thread was killed, which the next wait reports.
func (p *Process) resume(thread int, status syscall.WaitStatus) {
	signal := status.StopSignal()
	switch {
	case status.TrapCause() == unix.PTRACE_EVENT_SECCOMP:
		p.handleCall(thread)
		signal = 0
	case signal == syscall.SIGTRAP, signal == syscall.SIGSTOP: // a new thread
		signal = 0
	}
	_ = syscall.PtraceCont(thread, int(signal))
}

// handleCall applies the decision of the injector to the system call at which a thread has stopped.
func (p *Process) handleCall(thread int) {
	var registers syscall.PtraceRegs
	if syscall.PtraceGetRegs(thread, &registers) != nil {
		return
	}
	number := registers.Orig_rax
	if number == unix.SYS_CLOCK_GETTIME {
		p.returnWallClock(thread, &registers)
		return
	}
	descriptor := descriptorOther
	if number == unix.SYS_READ || number == unix.SYS_WRITE {
		descriptor = p.descriptorKind(registers.Rdi)
	}
	switch d := p.injector.decide(number, descriptor, int(registers.Rdx)); {
	case d.err != 0:
		skipCall(thread, &registers, -int64(d.err))
	case d.length > 0:
		registers.Rdx = uint64(d.length)
		_ = syscall.PtraceSetRegs(thread, &registers)
	}
}

// descriptorKind returns what a file descriptor of the program refers to. Standard input, output and error count as
// descriptorOther. Standard output and error are the program's log.
func (p *Process) descriptorKind(descriptor uint64) descriptorKind {
	if descriptor <= uint64(syscall.Stderr) {
		return descriptorOther
	}
	target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", p.pid, descriptor))
	switch {
	case err != nil:
		return descriptorOther
	case strings.HasPrefix(target, "socket:"):
		return descriptorSocket
	case strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "/dev/"):
		return descriptorFile
	}
	return descriptorOther
}

// skipCall makes the system call return a result. The kernel does not execute the call.
func skipCall(thread int, registers *syscall.PtraceRegs, result int64) {
	registers.Orig_rax = ^uint64(0) // no call has this number, so the kernel executes none
	registers.Rax = uint64(result)
	_ = syscall.PtraceSetRegs(thread, registers)
}

// returnWallClock makes a read of the wall clock return the injector's time.
func (p *Process) returnWallClock(thread int, registers *syscall.PtraceRegs) {
	now := p.injector.wallClock()
	value := binary.LittleEndian.AppendUint64(nil, uint64(now.Unix()))
	value = binary.LittleEndian.AppendUint64(value, uint64(now.Nanosecond()))
	if _, err := syscall.PtracePokeData(thread, uintptr(registers.Rsi), value); err != nil {
		return
	}
	skipCall(thread, registers, 0)
}
