package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	start  time.Time
	closed bool
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// add writes one line with the time since the beginning.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, values...)
	r.out.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// close writes out what is buffered.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.out.Flush()
	_ = r.file.Close()
}
