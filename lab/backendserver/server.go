// Package backendserver is a fake backend server for tests, demos and experiments. It runs a task by
// waiting for its run time, and its faults can be set while it runs. It does not limit the number of
// tasks at once: its agent does.
//
// A payload {"runMs": 120, ...} asks for a run time in milliseconds. The answer names the server, the
// kind and the checksum of the payload, so that a caller can check that it is the complete answer to
// its own request.
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

// Faults are the faults that a server has at present; the zero value is a healthy server.
type Faults struct {
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64
	// FailAll makes every task fail immediately with status 500.
	FailAll bool
}

// TaskStart identifies one start of a task, as in the headers of package backend.
type TaskStart struct {
	Submission string
	Task       string
	Attempt    string
}

// Result is the answer to a task.
type Result struct {
	Server string `json:"server"`
	Kind   string `json:"kind"`
	// Checksum is the checksum of the payload, as the function Checksum returns it.
	Checksum string `json:"sum"`
}

// runRequest is the part of a task's payload that the server reads.
type runRequest struct {
	// RunMs is the run time in milliseconds.
	RunMs float64 `json:"runMs"`
	// ID identifies the task in the journal. If it is empty, submission and index do: SUBMISSION#INDEX.
	ID string `json:"id"`
}

// Journal counts the starts of each task at a set of servers, so that a second start is seen even if
// it is on another server.
type Journal struct {
	mu           sync.Mutex
	startsByTask map[string]int
	totalStarts  int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{startsByTask: make(map[string]int)} }

// record counts one start. id is the ID in the payload, empty if there is none.
func (j *Journal) record(s TaskStart, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if id == "" {
		id = s.Submission + "#" + s.Task
	}
	j.startsByTask[id]++
	j.totalStarts++
}

// StartsOf returns how often the task with an ID in its payload was started.
func (j *Journal) StartsOf(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.startsByTask[id]
}

// Starts returns how often a task without an ID in its payload was started; task is its index in the
// submission.
func (j *Journal) Starts(submission string, task int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.startsByTask[submission+"#"+strconv.Itoa(task)]
}

// Total returns the number of starts and the number of tasks that were started more than once.
func (j *Journal) Total() (starts, twice int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.startsByTask {
		if n > 1 {
			twice++
		}
	}
	return j.totalStarts, twice
}

// StartedTwice returns the tasks for which keep returns true and that were started more than once, in
// no particular order.
func (j *Journal) StartedTwice(keep func(task string) bool) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var tasks []string
	for task, count := range j.startsByTask {
		if count > 1 && keep(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// Server is one fake backend server.
type Server struct {
	name     string
	journal  *Journal
	http     *fasthttp.Server
	listener net.Listener

	mu           sync.Mutex
	faults       Faults
	runningTasks int
	peakTasks    int
	busyTime     time.Duration
	// killed is closed by Kill.
	killed chan struct{}
}

// New returns a server that listens on an address, IP:port; port 0 lets the system choose one. journal
// may be shared by several servers.
func New(name, address string, journal *Journal) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &Server{name: name, journal: journal, listener: listener, killed: make(chan struct{})}
	s.http = &fasthttp.Server{Handler: s.handle, Name: "backend-standin", NoDefaultDate: true, CloseOnShutdown: true}
	return s, nil
}

// Address returns the IP:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Kill is called.
func (s *Server) Serve() error { return s.http.Serve(s.listener) }

// SetFaults replaces the faults for tasks that start from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Kill ends the server immediately, as a crash would: running tasks get no answer, their connections
// close. Further calls do nothing.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.killed:
		return
	default:
	}
	close(s.killed)
	_ = s.listener.Close()
}

// Usage returns the largest number of tasks that ran at once, and the sum of the run times of all tasks
// that have ended.
func (s *Server) Usage() (peak int, busy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakTasks, s.busyTime
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == backend.PathStop {
		return // a request to stop is accepted without effect: tasks cannot be stopped here
	}
	if len(path) <= len(backend.PathRun) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	s.runTask(ctx, path[len(backend.PathRun):])
}

// runTask records the start of a task, waits for its run time and answers it. If the server is killed
// meanwhile, the connection is closed without an answer.
func (s *Server) runTask(ctx *fasthttp.RequestCtx, kind string) {
	header := &ctx.Request.Header
	var request runRequest
	_ = json.Unmarshal(ctx.PostBody(), &request) // a payload of another form has a run time of 0
	s.journal.record(TaskStart{
		Submission: string(header.Peek(backend.HeaderSubmission)),
		Task:       string(header.Peek(backend.HeaderTask)),
		Attempt:    string(header.Peek(backend.HeaderAttempt)),
	}, request.ID)
	faults := s.beginTask()
	defer s.endTask(time.Now())
	if faults.FailAll {
		ctx.Error("this server fails everything", fasthttp.StatusInternalServerError)
		return
	}
	if !s.simulateRun(runTime(request, faults)) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	body, err := json.Marshal(Result{Server: s.name, Kind: kind, Checksum: Checksum(ctx.PostBody())})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Checksum returns the xxh3 checksum of a payload in hexadecimal, as in Result.Checksum.
func Checksum(payload []byte) string { return strconv.FormatUint(xxh3.Hash(payload), 16) }

// runTime returns the run time of a task under faults.
func runTime(request runRequest, faults Faults) time.Duration {
	factor := faults.SlowFactor
	if factor == 0 {
		factor = 1
	}
	return time.Duration(request.RunMs * factor * float64(time.Millisecond))
}

// beginTask counts a task as running and returns the faults that apply to it.
func (s *Server) beginTask() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningTasks++
	s.peakTasks = max(s.peakTasks, s.runningTasks)
	return s.faults
}

// endTask counts a task that began at a time as ended.
func (s *Server) endTask(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningTasks--
	s.busyTime += time.Since(began)
}

// simulateRun waits for the run time. It returns false if the server is killed first.
func (s *Server) simulateRun(run time.Duration) bool {
	if run <= 0 {
		return true
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.killed:
		return false
	}
}
