// Package settings reads the JSON settings of entries and agents.
//
// A settings file is checked against a published JSON Schema first, which
// finds unknown fields and wrong types, and then for what a schema cannot say:
// addresses by IP number and limits that clash. All mistakes are reported at
// once, each with its JSON path, the value, and what is allowed.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return eris.Wrap(err, "duration")
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Platform says how to reach the platform.
type Platform struct {
	// Address is the IP:port of the platform's HTTP interface.
	Address string `json:"address"`
	// Timeout bounds one request.
	Timeout Duration `json:"timeout"`
}

// TLS names the files of a key pair and of the authorities trusted.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authorities string `json:"authorities"`
}

// Log configures the log.
type Log struct {
	// Level is one of debug, info, warn, error.
	Level string `json:"level"`
}

// Entry are the settings of an entry.
type Entry struct {
	ID         string `json:"id"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// Listen is the IP:port for callers and operators.
	Listen string `json:"listen"`
	// PeerListen is the IP:port for agents and other entries; PeerAddress is
	// how they reach it, PeerListen if empty.
	PeerListen  string   `json:"peerListen"`
	PeerAddress string   `json:"peerAddress,omitempty"`
	Platform    Platform `json:"platform"`
	// TLS is required unless Dev is set.
	TLS *TLS `json:"tls,omitempty"`
	// Dev serves without TLS and credentials, on loopback only.
	Dev bool `json:"dev,omitempty"`
	// BootstrapSHA256 is the hash of a token that may put the first
	// configuration, while there is none; optional.
	BootstrapSHA256 string      `json:"bootstrapSha256,omitempty"`
	Log             Log         `json:"log"`
	Limits          EntryLimits `json:"limits"`
}

// EntryLimits bound what one entry accepts.
type EntryLimits struct {
	// MaxBody bounds one request body, in bytes.
	MaxBody int `json:"maxBody"`
	// MaxTasks bounds the tasks of one job.
	MaxTasks int `json:"maxTasks"`
	// MaxPayload bounds one task's payload, in bytes; at most MaxBody.
	MaxPayload int `json:"maxPayload"`
	// MaxConnections bounds the connections of callers.
	MaxConnections int `json:"maxConnections"`
	// MaxWaiting bounds the tasks that wait for an agent.
	MaxWaiting int `json:"maxWaiting"`
	// DefaultDeadline and MaxDeadline bound the time to an answer.
	DefaultDeadline Duration `json:"defaultDeadline"`
	MaxDeadline     Duration `json:"maxDeadline"`
	// ReadTimeout bounds the time in which a request must arrive.
	ReadTimeout Duration `json:"readTimeout"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `json:"drainTimeout"`
	// DrainNotice is how long a stopping entry goes on taking requests while its
	// health check fails, so that the balancer learns of it first.
	DrainNotice Duration `json:"drainNotice"`
	// WriteBudget is the number of transactions a second that all entries
	// together may commit.
	WriteBudget float64 `json:"writeBudget"`
}

// DefaultEntryLimits returns the limits used where a file gives none.
func DefaultEntryLimits() EntryLimits {
	return EntryLimits{
		MaxBody: 8 << 20, MaxTasks: 140, MaxPayload: 1 << 20, MaxConnections: 4096, MaxWaiting: 8192,
		DefaultDeadline: Duration(10 * time.Second), MaxDeadline: Duration(5 * time.Minute),
		ReadTimeout: Duration(10 * time.Second), DrainTimeout: Duration(30 * time.Second),
		DrainNotice: Duration(2 * time.Second),
		WriteBudget: 250,
	}
}

// Agent are the settings of an agent.
type Agent struct {
	ID         string            `json:"id"`
	Worker     string            `json:"worker"`
	Region     string            `json:"region"`
	DataCentre string            `json:"dataCentre"`
	Rack       string            `json:"rack"`
	Service    string            `json:"service"`
	Labels     map[string]string `json:"labels,omitempty"`
	// Listen is the IP:port for entries; Address is how they reach it, Listen if empty.
	Listen  string `json:"listen"`
	Address string `json:"address,omitempty"`
	// Backend is the IP:port of the backend server.
	Backend string `json:"backend"`
	// Entries are addresses of entries to announce to at first.
	Entries  []string `json:"entries"`
	Platform Platform `json:"platform"`
	TLS      *TLS     `json:"tls,omitempty"`
	Dev      bool     `json:"dev,omitempty"`
	Log      Log      `json:"log"`
	// Slots is the number of tasks the backend server runs at once.
	Slots int `json:"slots"`
	// Connections bounds the connections to the backend server; at least Slots.
	Connections int `json:"connections"`
	// Queue is the number of tasks that may wait for a slot.
	Queue int `json:"queue"`
	// ResultBytes bounds the results kept for entries, in bytes.
	ResultBytes int `json:"resultBytes"`
	// Fanout is the number of entries to announce to.
	Fanout       int      `json:"fanout"`
	DrainTimeout Duration `json:"drainTimeout"`
}

// DefaultAgent returns the values used where a file gives none.
func DefaultAgent() Agent {
	return Agent{
		Slots: 8, Connections: 64, Queue: 8, ResultBytes: 32 << 20, Fanout: 4,
		DrainTimeout: Duration(30 * time.Second), Log: Log{Level: "info"},
		Platform: Platform{Timeout: Duration(2 * time.Second)},
	}
}

// LoadEntry reads and checks an entry's settings.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseEntry(data)
}

// ParseEntry checks an entry's settings.
func ParseEntry(data []byte) (*Entry, error) {
	s := &Entry{Limits: DefaultEntryLimits(), Log: Log{Level: "info"}, Platform: Platform{Timeout: Duration(2 * time.Second)}}
	err := Read(entrySchema(), data, s, func() Problems {
		if s.PeerAddress == "" {
			s.PeerAddress = s.PeerListen
		}
		return s.check()
	})
	return s, err
}

// LoadAgent reads and checks an agent's settings.
func LoadAgent(path string) (*Agent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseAgent(data)
}

// ParseAgent checks an agent's settings.
func ParseAgent(data []byte) (*Agent, error) {
	s := DefaultAgent()
	err := Read(agentSchema(), data, &s, func() Problems {
		if s.Address == "" {
			s.Address = s.Listen
		}
		return s.check()
	})
	return &s, err
}

func (s *Entry) check() Problems {
	var p Problems
	p.address("/listen", s.Listen, s.Dev)
	p.address("/peerListen", s.PeerListen, s.Dev)
	p.address("/peerAddress", s.PeerAddress, s.Dev)
	p.address("/platform/address", s.Platform.Address, false)
	if s.Listen == s.PeerListen && s.Listen != "" {
		p.add("/peerListen", s.PeerListen, "must differ from /listen")
	}
	p.tls(s.TLS, s.Dev)
	l := s.Limits
	if l.MaxPayload > l.MaxBody {
		p.add("/limits/maxPayload", l.MaxPayload, fmt.Sprintf("at most /limits/maxBody, which is %d", l.MaxBody))
	}
	if l.DefaultDeadline > l.MaxDeadline {
		p.add("/limits/defaultDeadline", l.DefaultDeadline.Std(), fmt.Sprintf("at most /limits/maxDeadline, which is %v", l.MaxDeadline.Std()))
	}
	p.positive("/limits/defaultDeadline", l.DefaultDeadline)
	p.positive("/limits/maxDeadline", l.MaxDeadline)
	p.positive("/limits/readTimeout", l.ReadTimeout)
	p.positive("/limits/drainTimeout", l.DrainTimeout)
	p.positive("/limits/drainNotice", l.DrainNotice)
	p.positive("/platform/timeout", s.Platform.Timeout)
	if l.MaxTasks > l.MaxWaiting {
		p.add("/limits/maxTasks", l.MaxTasks, fmt.Sprintf("at most /limits/maxWaiting, which is %d", l.MaxWaiting))
	}
	return p
}

func (s *Agent) check() Problems {
	var p Problems
	p.address("/listen", s.Listen, s.Dev)
	p.address("/address", s.Address, s.Dev)
	p.address("/backend", s.Backend, false)
	p.address("/platform/address", s.Platform.Address, false)
	for i, entry := range s.Entries {
		p.address(fmt.Sprintf("/entries/%d", i), entry, false)
	}
	p.tls(s.TLS, s.Dev)
	if s.Connections < s.Slots {
		p.add("/connections", s.Connections, fmt.Sprintf("at least /slots, which is %d", s.Slots))
	}
	p.positive("/drainTimeout", s.DrainTimeout)
	p.positive("/platform/timeout", s.Platform.Timeout)
	return p
}

// address checks an IP:port, and that it is on loopback if it must be.
func (p *Problems) address(path, value string, loopback bool) {
	parsed, err := netip.ParseAddrPort(value)
	switch {
	case value == "": // a missing address is the schema's to report
	case err != nil:
		p.add(path, value, "an IP number and a port, such as 127.0.0.1:7000")
	case loopback && !parsed.Addr().IsLoopback():
		p.add(path, value, "a loopback address, since /dev is true")
	}
}

func (p *Problems) positive(path string, d Duration) {
	if d <= 0 {
		p.add(path, d.Std(), "greater than 0s")
	}
}

func (p *Problems) tls(t *TLS, dev bool) {
	if t == nil && !dev {
		p.add("/tls", "absent", "required unless /dev is true")
	}
	if t != nil && dev {
		p.add("/tls", "present", "absent, since /dev is true")
	}
}
