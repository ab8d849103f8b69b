package syscallfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// Types of entries of the auxiliary vector.
const (
	auxvEnd     = 0  // AT_NULL
	auxvIgnored = 1  // AT_IGNORE
	auxvVDSO    = 33 // AT_SYSINFO_EHDR: the address of the vDSO
)

// wordSize is the size of a word of the traced program in bytes.
const wordSize = 8

// syscallInstruction is the instruction that makes a system call.
var syscallInstruction = []byte{0x0f, 0x05}

// redZone is the size in bytes of the area below the stack pointer that may contain data of the program.
const redZone = 4096

// prepare hides the vDSO from the program and installs the filter in the program. The program stops at its
// first instruction, and prepare continues it after these changes.
func (p *Process) prepare() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(p.pid, &status, syscall.WALL, nil); err != nil {
		return fmt.Errorf("wait: %w", err)
	}
	if !status.Stopped() {
		return fmt.Errorf("program not stopped at its start: status %#x", int(status))
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
	address, err := p.findAuxiliaryVector()
	if err != nil {
		return err
	}
	for ; ; address += 2 * wordSize { // each entry is a type and a value
		entryType, err := p.peekWord(address)
		if err != nil {
			return err
		}
		switch entryType {
		case auxvEnd:
			return nil
		case auxvVDSO:
			return p.poke(address, binary.LittleEndian.AppendUint64(nil, auxvIgnored))
		}
	}
}

// findAuxiliaryVector returns the address of the auxiliary vector on the program's initial stack. The
// argument count, the arguments, a zero word, the environment and another zero word precede the vector.
func (p *Process) findAuxiliaryVector() (address uint64, err error) {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(p.pid, &registers); err != nil {
		return 0, fmt.Errorf("read registers: %w", err)
	}
	argumentCount, err := p.peekWord(registers.Rsp)
	if err != nil {
		return 0, err
	}
	address = registers.Rsp + wordSize*(argumentCount+2)
	for {
		word, err := p.peekWord(address)
		if err != nil {
			return 0, err
		}
		address += wordSize
		if word == 0 {
			return address, nil
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

// installFilter makes the program execute the two system calls that install the filter. During these calls, a
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
	if err := p.executeCall(registers, noNewPrivileges); err != nil {
		return fmt.Errorf("set no_new_privs: %w", err)
	}
	setFilter := systemCall{
		number: unix.SYS_SECCOMP, arguments: [3]uint64{unix.SECCOMP_SET_MODE_FILTER, 0, headerAddress},
	}
	if err := p.executeCall(registers, setFilter); err != nil {
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

// systemCall is a system call that the tracer makes the program execute. The fourth and fifth arguments are 0.
type systemCall struct {
	number    uint64
	arguments [3]uint64
}

// executeCall makes the program execute one system call at its current instruction, with the given
// registers.
func (p *Process) executeCall(registers syscall.PtraceRegs, call systemCall) error {
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
