package syscallfault

import (
	"encoding/binary"

	"golang.org/x/sys/unix"
)

// tracedCalls are the system calls at which the program stops. It also stops at reads of the wall clock.
var tracedCalls = []uint32{
	unix.SYS_READ, unix.SYS_WRITE, unix.SYS_EPOLL_WAIT, unix.SYS_EPOLL_PWAIT,
	unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_FSYNC,
}

// Offsets in struct seccomp_data.
const (
	dataNumberOffset   = 0
	dataArgumentOffset = 16 // the lower half of the first argument
)

// instruction is an instruction of a classic BPF program, a struct sock_filter.
type instruction struct {
	code      uint16
	jumpTrue  uint8 // instructions to skip if the condition holds
	jumpFalse uint8 // instructions to skip otherwise
	value     uint32
}

// instructionSize is the size of a struct sock_filter in bytes.
const instructionSize = 8

// filterProgram returns the seccomp filter in the kernel's format. The filter stops the program at the traced
// calls and at reads of the wall clock, and allows all other calls.
func filterProgram() []byte {
	const (
		load       = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		jumpEqual  = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		returnCode = unix.BPF_RET | unix.BPF_K
	)
	program := []instruction{{code: load, value: dataNumberOffset}}
	for _, number := range tracedCalls {
		program = append(program,
			instruction{code: jumpEqual, jumpFalse: 1, value: number},
			instruction{code: returnCode, value: unix.SECCOMP_RET_TRACE},
		)
	}
	program = append(program,
		instruction{code: jumpEqual, jumpTrue: 1, value: unix.SYS_CLOCK_GETTIME},
		instruction{code: returnCode, value: unix.SECCOMP_RET_ALLOW},
		instruction{code: load, value: dataArgumentOffset},
		instruction{code: jumpEqual, jumpFalse: 1, value: unix.CLOCK_REALTIME},
		instruction{code: returnCode, value: unix.SECCOMP_RET_TRACE},
		instruction{code: returnCode, value: unix.SECCOMP_RET_ALLOW},
	)
	encoded := make([]byte, 0, len(program)*instructionSize)
	for _, i := range program {
		encoded = binary.LittleEndian.AppendUint16(encoded, i.code)
		encoded = append(encoded, i.jumpTrue, i.jumpFalse)
		encoded = binary.LittleEndian.AppendUint32(encoded, i.value)
	}
	return encoded
}
