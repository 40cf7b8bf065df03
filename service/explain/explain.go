// Package explain tells the story of one job from the logs of several processes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine bounds a line of a log, in bytes; longer ones are passed over.
const maxLine = 1 << 20

// Line is one line about a job.
type Line struct {
	At     time.Time
	Source string
	// Event is the line's sentence, such as "route: refuse".
	Event  string
	Fields map[string]any
}

// Story is what the logs tell of a job, in the order of time.
type Story struct {
	Lines []Line
	// Foreign counts lines that are no log lines of ours.
	Foreign int
}

// Read adds the lines about a job from one log.
func (s *Story) Read(source string, log io.Reader, job string) error {
	reader := bufio.NewReaderSize(log, maxLine)
	for {
		raw, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			err = skipLine(reader)
			s.Foreign++
			raw = nil
		}
		if len(raw) > 0 && strings.Contains(string(raw), job) {
			s.take(source, raw, job)
		}
		switch err {
		case nil:
		case io.EOF:
			s.sort()
			return nil
		default:
			return eris.Wrapf(err, "read %s", source)
		}
	}
}

// skipLine passes over the rest of a line.
func skipLine(reader *bufio.Reader) error {
	for {
		if _, err := reader.ReadSlice('\n'); err != bufio.ErrBufferFull {
			return err
		}
	}
}

// take decodes a line. A line that other software has put something before, such
// as a time or a name, is read from its first brace.
func (s *Story) take(source string, raw []byte, job string) {
	at := strings.IndexByte(string(raw), '{')
	fields := make(map[string]any)
	if at < 0 || json.Unmarshal(raw[at:], &fields) != nil {
		s.Foreign++
		return
	}
	if prefix := strings.Fields(string(raw[:at])); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	if fields["job"] != job && !strings.HasPrefix(text(fields["task"]), job+".") {
		return
	}
	when, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
	if err != nil {
		s.Foreign++
		return
	}
	event := text(fields["message"])
	for _, known := range []string{"time", "message", "level", "part", "job"} {
		delete(fields, known)
	}
	s.Lines = append(s.Lines, Line{At: when, Source: source, Event: event, Fields: fields})
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

func (s *Story) sort() {
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].At.Before(s.Lines[j].At) })
}

// ending are the events that end a job at its entry, worst first.
var ending = []string{"route: refuse", "route: give up", "route: caller gone", "route: done"}

// End returns the first line that explains the job's end; ok is false if the
// logs do not tell it.
func (s *Story) End() (line Line, ok bool) {
	for _, event := range ending {
		for _, l := range s.Lines {
			if l.Event == event {
				return l, true
			}
		}
	}
	return Line{}, false
}

// Causes counts the runs that did not complete, by how, reason and worker.
func (s *Story) Causes() map[string]int {
	causes := make(map[string]int)
	for _, l := range s.Lines {
		if l.Event != "route: end" || l.Fields["how"] == "done" {
			continue
		}
		causes[strings.TrimSpace(fmt.Sprintf("%v %v on %v", l.Fields["how"], l.Fields["reason"], l.Fields["worker"]))]++
	}
	return causes
}

// Print writes the story with the time since the line before.
func (s *Story) Print(w io.Writer) error {
	var before time.Time
	for _, l := range s.Lines {
		since := time.Duration(0)
		if !before.IsZero() {
			since = l.At.Sub(before)
		}
		before = l.At
		if _, err := fmt.Fprintf(w, "%s %+10.3fms %-20s %-18s %s\n", l.At.Format("15:04:05.000000"),
			float64(since)/float64(time.Millisecond), l.Source, l.Event, details(l.Fields)); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	return s.printEnd(w)
}

func (s *Story) printEnd(w io.Writer) error {
	end, ok := s.End()
	if !ok {
		_, err := fmt.Fprintln(w, "the logs do not tell how it ended")
		return eris.Wrap(err, "print")
	}
	if _, err := fmt.Fprintf(w, "ended: %s %s\n", end.Event, details(end.Fields)); err != nil {
		return eris.Wrap(err, "print")
	}
	if late, known := s.Late(); known && end.Event == "route: done" {
		if _, err := fmt.Fprintf(w, "  %s\n", late); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	causes := s.Causes()
	names := make([]string, 0, len(causes))
	for name := range causes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "  %d runs %s\n", causes[name], name); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	return nil
}

// details writes the fields that say something, by name.
func details(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name, value := range fields {
		if value != "" && value != float64(0) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
