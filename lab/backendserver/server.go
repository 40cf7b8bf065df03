// Package backendserver is a stand-in for a backend server: it runs tasks by
// waiting, within its slots, and can be told to misbehave.
//
// A payload {"runMs": 120, ...} asks for that run time. The answer names the
// server, the kind and the checksum of the payload, so that a caller can tell
// whether it got the whole answer to its own request.
package backendserver

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"peridotpick.example/service/backend"
)

// Faults are the present faults; the zero value is a healthy server.
type Faults struct {
	// Slow multiplies run times; 0 means 1.
	Slow float64
	// FailAll fails every task at once.
	FailAll bool
}

// Start is one start of a task, for the detection of double starts.
type Start struct {
	Submission string
	Task       string
	Attempt    string
}

// Result is the answer to a task.
type Result struct {
	Server string `json:"server"`
	Kind   string `json:"kind"`
	// Sum is the xxh3 checksum of the payload.
	Sum string `json:"sum"`
}

// payload is the part of a task's payload that the stand-in reads.
type payload struct {
	RunMs float64 `json:"runMs"`
	// ID names the task in the journal; submission and index do if it is empty.
	ID string `json:"id"`
}

// Journal records all starts of a set of servers.
type Journal struct {
	mu     sync.Mutex
	starts map[string]int
	total  int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{starts: make(map[string]int)} }

func (j *Journal) record(s Start, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if id == "" {
		id = s.Submission + "#" + s.Task
	}
	j.starts[id]++
	j.total++
}

// StartsOf returns how often the task with the payload's id was started.
func (j *Journal) StartsOf(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[id]
}

// Starts returns how often a task of a submission was started.
func (j *Journal) Starts(submission string, task int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[submission+"#"+strconv.Itoa(task)]
}

// Total returns the number of starts, and of tasks started more than once.
func (j *Journal) Total() (starts, twice int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.starts {
		if n > 1 {
			twice++
		}
	}
	return j.total, twice
}

// Twice returns the tasks started more than once for which keep is true.
func (j *Journal) Twice(keep func(task string) bool) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []string
	for task, n := range j.starts {
		if n > 1 && keep(task) {
			list = append(list, task)
		}
	}
	return list
}

// Server is one stand-in.
type Server struct {
	name     string
	journal  *Journal
	http     *fasthttp.Server
	listener net.Listener

	mu      sync.Mutex
	faults  Faults
	running int
	peak    int
	busy    time.Duration
	dead    chan struct{}
}

// New returns a server that listens on the address; port 0 chooses one.
func New(name, address string, journal *Journal) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{name: name, journal: journal, listener: listener, dead: make(chan struct{})}
	s.http = &fasthttp.Server{Handler: s.handle, Name: "backend-standin", NoDefaultDate: true, CloseOnShutdown: true}
	return s, nil
}

// Address returns the IP:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves until Close or Die.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Die ends the server at once: running tasks never answer.
func (s *Server) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.dead:
		return
	default:
	}
	close(s.dead)
	_ = s.listener.Close()
}

// Usage returns the most tasks that ran at once, and the time spent running.
func (s *Server) Usage() (peak int, busy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak, s.busy
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == backend.PathStop {
		return // running tasks of the stand-in cannot be stopped
	}
	if len(path) <= len(backend.PathRun) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	s.run(ctx, path[len(backend.PathRun):])
}

func (s *Server) run(ctx *fasthttp.RequestCtx, kind string) {
	header := &ctx.Request.Header
	var asked payload
	_ = json.Unmarshal(ctx.PostBody(), &asked) // a payload of another form runs for no time
	s.journal.record(Start{
		Submission: string(header.Peek(backend.HeaderSubmission)),
		Task:       string(header.Peek(backend.HeaderTask)),
		Attempt:    string(header.Peek(backend.HeaderAttempt)),
	}, asked.ID)
	faults := s.begin()
	defer s.end(time.Now())
	if faults.FailAll {
		ctx.Error("this server fails everything", fasthttp.StatusInternalServerError)
		return
	}
	if !s.work(runTime(asked, faults)) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	body, err := json.Marshal(Result{Server: s.name, Kind: kind, Sum: Checksum(ctx.PostBody())})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Checksum returns the checksum of a payload as it stands in a Result.
func Checksum(payload []byte) string { return strconv.FormatUint(xxh3.Hash(payload), 16) }

func runTime(p payload, faults Faults) time.Duration {
	factor := faults.Slow
	if factor == 0 {
		factor = 1
	}
	return time.Duration(p.RunMs * factor * float64(time.Millisecond))
}

func (s *Server) begin() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	return s.faults
}

func (s *Server) end(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.busy += time.Since(began)
}

// work waits for the run time. It reports false if the server died meanwhile.
func (s *Server) work(run time.Duration) bool {
	if run <= 0 {
		return true
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.dead:
		return false
	}
}
