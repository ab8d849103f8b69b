package main

import (
	"encoding/binary"
	"io"
	"net"
	"time"
)

// bus is a stand-in for the event bus. It has no news: it sends an empty frame each second.
type bus struct{ listener net.Listener }

func startBus() (*bus, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bus{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *bus) addr() string { return b.listener.Addr().String() }

func (b *bus) serve(conn net.Conn) {
	defer conn.Close()
	var last [8]byte
	if _, err := io.ReadFull(conn, last[:]); err != nil {
		return
	}
	frame := binary.BigEndian.AppendUint32(nil, 9)
	frame = append(frame, last[:]...)
	frame = append(frame, 0)
	for {
		if _, err := conn.Write(frame); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}
