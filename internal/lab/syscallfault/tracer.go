package syscallfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// auxvVDSO is the entry of the auxiliary vector that holds the address of the vDSO.
const auxvVDSO = 33

// wordSize is the size of a word of the traced program in bytes.
const wordSize = 8

// syscallInstruction is the instruction that makes a system call.
var syscallInstruction = []byte{0x0f, 0x05}

// redZone is the size in bytes of the area below the stack pointer that may contain data.
const redZone = 4096

// Process is a traced program. Its exported methods are safe for concurrent use. The unexported methods
// must be called on the thread of the tracer.
type Process struct {
	pid      int
	injector *injector
	ended    chan struct{}      // closed when the program has ended
	status   syscall.WaitStatus // valid after ended
	err      error              // of the tracer; valid after ended
}

// Start starts a program under the faults. Standard output and error go to the given file. The random
// numbers that decide on the calls come from the seed, but the order of the calls depends on the
// program's threads.
func Start(path string, args, env []string, output *os.File, seed uint64, faults Faults) (*Process, error) {
	p := &Process{injector: newInjector(seed, faults), ended: make(chan struct{})}
	started := make(chan error, 1)
	go p.trace(path, args, env, output, started)
	if err := <-started; err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	return p, nil
}

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
func (p *Process) Counts() map[Kind]int { return p.injector.counted() }

// Ended returns a channel that is closed when the program has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits for the end of the program and returns its status.
func (p *Process) Wait() (syscall.WaitStatus, error) {
	<-p.ended
	return p.status, p.err
}

// trace starts the program and traces it until its end. All requests of ptrace must come
// from the thread that started the program.
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

// prepare installs the filter in the program, which is stopped at its first instruction, and continues
// it.
func (p *Process) prepare() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(p.pid, &status, syscall.WALL, nil); err != nil {
		return fmt.Errorf("wait: %w", err)
	}
	if !status.Stopped() {
		return fmt.Errorf("not stopped at its start: status %#x", int(status))
	}
	const options = syscall.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_EXITKILL
	if err := syscall.PtraceSetOptions(p.pid, options); err != nil {
		return fmt.Errorf("set options: %w", err)
	}
	if err := p.hideVDSO(); err != nil {
		return err
	}
	if err := p.installFilter(); err != nil {
		return err
	}
	if err := syscall.PtraceCont(p.pid, 0); err != nil {
		return fmt.Errorf("continue: %w", err)
	}
	return nil
}

// hideVDSO removes the vDSO from the auxiliary vector, so that the program reads its clocks by
// system calls.
func (p *Process) hideVDSO() error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(p.pid, &registers); err != nil {
		return fmt.Errorf("read registers: %w", err)
	}
	argumentCount, err := p.peekWord(registers.Rsp)
	if err != nil {
		return err
	}
	// The arguments and the environment follow the count, each with a zero word after it.
	address := uintptr(registers.Rsp) + wordSize*uintptr(argumentCount+2)
	for {
		word, err := p.peekWord(uint64(address))
		if err != nil {
			return err
		}
		address += wordSize
		if word == 0 {
			break
		}
	}
	for ; ; address += 2 * wordSize {
		entry, err := p.peekWord(uint64(address))
		if err != nil {
			return err
		}
		switch entry {
		case 0:
			return nil
		case auxvVDSO:
			const ignored = 1 // AT_IGNORE
			return p.poke(uint64(address), binary.LittleEndian.AppendUint64(nil, ignored))
		}
	}
}

func (p *Process) peekWord(address uint64) (uint64, error) {
	word := make([]byte, wordSize)
	if _, err := syscall.PtracePeekData(p.pid, uintptr(address), word); err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	return binary.LittleEndian.Uint64(word), nil
}

func (p *Process) poke(address uint64, data []byte) error {
	if _, err := syscall.PtracePokeData(p.pid, uintptr(address), data); err != nil {
		return fmt.Errorf("write memory: %w", err)
	}
	return nil
}

// installFilter makes the program execute the two system calls that install the filter. For that time, a
// system call instruction replaces the program's first instruction.
func (p *Process) installFilter() error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(p.pid, &registers); err != nil {
		return fmt.Errorf("read registers: %w", err)
	}
	code := make([]byte, wordSize)
	if _, err := syscall.PtracePeekText(p.pid, uintptr(registers.Rip), code); err != nil {
		return fmt.Errorf("read code: %w", err)
	}
	patched := slices.Concat(syscallInstruction, code[len(syscallInstruction):])
	if _, err := syscall.PtracePokeText(p.pid, uintptr(registers.Rip), patched); err != nil {
		return fmt.Errorf("write code: %w", err)
	}
	program := filterProgram()
	programAddress := (registers.Rsp - redZone) &^ (wordSize - 1)
	headerAddress := programAddress - 2*wordSize // struct sock_fprog
	header := binary.LittleEndian.AppendUint64(nil, uint64(len(program)/instructionSize))
	header = binary.LittleEndian.AppendUint64(header, programAddress)
	if err := errors.Join(p.poke(programAddress, program), p.poke(headerAddress, header)); err != nil {
		return err
	}
	noNewPrivileges := systemCall{number: unix.SYS_PRCTL, arguments: [3]uint64{unix.PR_SET_NO_NEW_PRIVS, 1}}
	if err := p.injectCall(registers, noNewPrivileges); err != nil {
		return fmt.Errorf("set no_new_privs: %w", err)
	}
	setFilter := systemCall{
		number: unix.SYS_SECCOMP, arguments: [3]uint64{unix.SECCOMP_SET_MODE_FILTER, 0, headerAddress},
	}
	if err := p.injectCall(registers, setFilter); err != nil {
		return fmt.Errorf("install the filter: %w", err)
	}
	if _, err := syscall.PtracePokeText(p.pid, uintptr(registers.Rip), code); err != nil {
		return fmt.Errorf("restore code: %w", err)
	}
	if err := syscall.PtraceSetRegs(p.pid, &registers); err != nil {
		return fmt.Errorf("restore registers: %w", err)
	}
	return nil
}

// systemCall is a system call that the program is made to execute. Its other arguments are 0.
type systemCall struct {
	number    uint64
	arguments [3]uint64
}

// injectCall makes the program execute one system call at its current instruction, with the given
// registers.
func (p *Process) injectCall(registers syscall.PtraceRegs, call systemCall) error {
	registers.Rax = call.number
	registers.Rdi = call.arguments[0]
	registers.Rsi = call.arguments[1]
	registers.Rdx = call.arguments[2]
	registers.R10 = 0
	registers.R8 = 0
	if err := syscall.PtraceSetRegs(p.pid, &registers); err != nil {
		return fmt.Errorf("write registers: %w", err)
	}
	if err := syscall.PtraceSingleStep(p.pid); err != nil {
		return fmt.Errorf("single step: %w", err)
	}
	if _, err := syscall.Wait4(p.pid, nil, syscall.WALL, nil); err != nil {
		return fmt.Errorf("wait: %w", err)
	}
	if err := syscall.PtraceGetRegs(p.pid, &registers); err != nil {
		return fmt.Errorf("read registers: %w", err)
	}
	if result := int64(registers.Rax); result < 0 {
		return fmt.Errorf("system call %d: %w", call.number, syscall.Errno(-result))
	}
	return nil
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

// resume handles one stop of a thread and continues the thread. It ignores errors of ptrace: they mean
// that the thread was killed, which the next wait reports.
func (p *Process) resume(thread int, status syscall.WaitStatus) {
	signal := status.StopSignal()
	switch {
	case signal == syscall.SIGTRAP && status>>16 == unix.PTRACE_EVENT_SECCOMP:
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
	if registers.Orig_rax == unix.SYS_CLOCK_GETTIME {
		p.returnWallClock(thread, &registers)
		return
	}
	isTransfer := registers.Orig_rax == unix.SYS_READ || registers.Orig_rax == unix.SYS_WRITE
	isFile := false
	if isTransfer {
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", p.pid, registers.Rdi))
		if err != nil {
			return
		}
		isFile = strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "/dev/")
		if !isFile && !strings.HasPrefix(target, "socket:") || registers.Rdi <= uint64(syscall.Stderr) {
			return // a pipe, a counter of events or the log
		}
	}
	switch o := p.injector.decide(registers.Orig_rax, int(registers.Rdx), isFile); {
	case o.err != 0:
		skipCall(thread, &registers, -int64(o.err))
	case o.length > 0:
		registers.Rdx = uint64(o.length)
		_ = syscall.PtraceSetRegs(thread, &registers)
	}
}

// skipCall makes the call return a result without executing it.
func skipCall(thread int, registers *syscall.PtraceRegs, result int64) {
	registers.Orig_rax = ^uint64(0)
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
