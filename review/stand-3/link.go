package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a TCP link to a fixed address that can be cut in silence: nothing passes then in either
// direction, and what was held up passes when the cut ends, as TCP's retransmissions bring it.
type link struct {
	target string
	mu     sync.Mutex
	open   chan struct{} // closed while the link is whole
}

func newLink(address, target string) (*link, error) {
	l := &link{target: target, open: make(chan struct{})}
	close(l.open)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// cutOff cuts the link, heal ends the cut.
func (l *link) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

// await waits while the link is cut.
func (l *link) await() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	l.await()
	out, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			defer func() { done <- struct{}{} }()
			buffer := make([]byte, 32<<10)
			for {
				n, err := pair[0].Read(buffer)
				l.await()
				if n > 0 {
					if _, err := pair[1].Write(buffer[:n]); err != nil {
						return
					}
				}
				if err != nil {
					if err == io.EOF {
						if c, ok := pair[1].(*net.TCPConn); ok {
							_ = c.CloseWrite()
						}
					}
					return
				}
			}
		}()
	}
	<-done
	<-done
}
