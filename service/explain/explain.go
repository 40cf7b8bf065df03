// Package explain merges the log lines about one job from the logs of several processes, and
// explains how the job ended.
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

// maxLineBytes is the longest line of a log that is read, in bytes; longer lines are skipped.
const maxLineBytes = 1 << 20

// Line is a log line about a job.
type Line struct {
	At time.Time
	// Source is the process: the last word in front of the JSON, or else the name of the log.
	Source string
	// Event is the message of the line, such as "route: refuse".
	Event string
	// Fields are the other fields of the line.
	Fields map[string]any
}

// Timeline holds all log lines about a job, in the order of time.
type Timeline struct {
	Lines []Line
	// Unparsed counts lines that are too long, or mention the job but are not log lines of this
	// software.
	Unparsed int
}

// Read adds the lines about a job from one log. source is the name of the log.
func (t *Timeline) Read(source string, log io.Reader, job string) error {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	for {
		raw, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			err = skipLine(reader)
			t.Unparsed++
			raw = nil
		}
		if len(raw) > 0 && strings.Contains(string(raw), job) {
			t.addLine(source, raw, job)
		}
		switch err {
		case nil:
		case io.EOF:
			t.sortByTime()
			return nil
		default:
			return eris.Wrapf(err, "read %s", source)
		}
	}
}

// skipLine skips the rest of a line.
func skipLine(reader *bufio.Reader) error {
	for {
		if _, err := reader.ReadSlice('\n'); err != bufio.ErrBufferFull {
			return err
		}
	}
}

// addLine decodes a line and adds it if it is about the job. Other software may have put a prefix
// in front of the JSON, such as a time or a name; the line is decoded from its first brace on.
func (t *Timeline) addLine(source string, raw []byte, job string) {
	start := strings.IndexByte(string(raw), '{')
	fields := make(map[string]any)
	if start < 0 || json.Unmarshal(raw[start:], &fields) != nil {
		t.Unparsed++
		return
	}
	if prefix := strings.Fields(string(raw[:start])); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	if fields["job"] != job && !strings.HasPrefix(asString(fields["task"]), job+".") {
		return
	}
	when, err := time.Parse(time.RFC3339Nano, asString(fields["time"]))
	if err != nil {
		t.Unparsed++
		return
	}
	event := asString(fields["message"])
	for _, known := range []string{"time", "message", "level", "part", "job"} {
		delete(fields, known)
	}
	t.Lines = append(t.Lines, Line{At: when, Source: source, Event: event, Fields: fields})
}

// asString returns a JSON value as a string; empty if it is none.
func asString(v any) string {
	s, _ := v.(string)
	return s
}

func (t *Timeline) sortByTime() {
	sort.SliceStable(t.Lines, func(i, j int) bool { return t.Lines[i].At.Before(t.Lines[j].At) })
}

// endEvents are the events of an entry that explain the end of a job, in the order of precedence.
var endEvents = []string{"route: refuse", "route: give up", "route: caller gone", "route: done"}

// End returns the line that explains how the job ended; ok is false if there is none.
func (t *Timeline) End() (line Line, ok bool) {
	for _, event := range endEvents {
		for _, l := range t.Lines {
			if l.Event == event {
				return l, true
			}
		}
	}
	return Line{}, false
}

// Causes counts the runs that did not complete, by outcome, reason and worker.
func (t *Timeline) Causes() map[string]int {
	causes := make(map[string]int)
	for _, l := range t.Lines {
		if l.Event != "route: end" || l.Fields["how"] == "done" {
			continue
		}
		causes[strings.TrimSpace(fmt.Sprintf("%v %v on %v", l.Fields["how"], l.Fields["reason"], l.Fields["worker"]))]++
	}
	return causes
}

// Print writes all lines, each with the time since the previous one, and then how the job ended.
func (t *Timeline) Print(w io.Writer) error {
	var previous time.Time
	for _, l := range t.Lines {
		since := time.Duration(0)
		if !previous.IsZero() {
			since = l.At.Sub(previous)
		}
		previous = l.At
		if _, err := fmt.Fprintf(w, "%s %+10.3fms %-20s %-18s %s\n", l.At.Format("15:04:05.000000"),
			float64(since)/float64(time.Millisecond), l.Source, l.Event, formatFields(l.Fields)); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	return t.printEnd(w)
}

// printEnd writes how the job ended, why it was late, and which runs did not complete.
func (t *Timeline) printEnd(w io.Writer) error {
	end, ok := t.End()
	if !ok {
		_, err := fmt.Fprintln(w, "the logs do not tell how it ended")
		return eris.Wrap(err, "print")
	}
	if _, err := fmt.Fprintf(w, "ended: %s %s\n", end.Event, formatFields(end.Fields)); err != nil {
		return eris.Wrap(err, "print")
	}
	if late, known := t.LastTask(); known && end.Event == "route: done" {
		if _, err := fmt.Fprintf(w, "  %s\n", late); err != nil {
			return eris.Wrap(err, "print")
		}
	}
	causes := t.Causes()
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

// formatFields formats the fields that are neither empty nor 0, sorted by name.
func formatFields(fields map[string]any) string {
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
