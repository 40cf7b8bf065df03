// Package settings reads the JSON settings of entries and agents.
//
// A settings file is first validated against a published JSON Schema, which finds unknown fields
// and wrong types, and then checked for what a schema cannot express: addresses must be IP
// addresses, and limits must not contradict each other. All mistakes are reported at once, each
// with its JSON Pointer, the value, and what is allowed.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is encoded as text, such as "1.5s".
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

// Platform configures access to the platform, which provides the table service, the object store
// and the power state of workers.
type Platform struct {
	// Address is the IP:port of the platform's HTTP interface.
	Address string `json:"address"`
	// Timeout limits the time of one request.
	Timeout Duration `json:"timeout"`
}

// TLS holds the paths of the PEM files of a certificate, its private key, and the certificate
// authorities that are trusted.
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

// Entry holds the settings of an entry, the gateway instance that callers speak to.
type Entry struct {
	ID         string `json:"id"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// Listen is the IP:port for callers and operators.
	Listen string `json:"listen"`
	// PeerListen is the IP:port for agents and other entries. PeerAddress is the address at which
	// they reach it; PeerListen if empty.
	PeerListen  string   `json:"peerListen"`
	PeerAddress string   `json:"peerAddress,omitempty"`
	Platform    Platform `json:"platform"`
	// TLS is required unless Dev is set.
	TLS *TLS `json:"tls,omitempty"`
	// Dev is the development mode: no TLS and no credentials, on loopback only.
	Dev bool `json:"dev,omitempty"`
	// BootstrapSHA256 is the SHA-256 hash, in hexadecimal, of a token that may put the first
	// configuration while there is none; optional.
	BootstrapSHA256 string      `json:"bootstrapSha256,omitempty"`
	Log             Log         `json:"log"`
	Limits          EntryLimits `json:"limits"`
}

// EntryLimits limits what one entry accepts.
type EntryLimits struct {
	// MaxBody limits a request body, in bytes.
	MaxBody int `json:"maxBody"`
	// MaxTasks limits the number of tasks of a job.
	MaxTasks int `json:"maxTasks"`
	// MaxPayload limits the payload of a task, in bytes; at most MaxBody.
	MaxPayload int `json:"maxPayload"`
	// MaxConnections limits the number of callers' connections.
	MaxConnections int `json:"maxConnections"`
	// MaxWaiting limits the number of tasks that wait for an agent; at least MaxTasks.
	MaxWaiting int `json:"maxWaiting"`
	// DefaultDeadline is the time to an answer of a request that gives none; MaxDeadline is the
	// longest that a request may give.
	DefaultDeadline Duration `json:"defaultDeadline"`
	MaxDeadline     Duration `json:"maxDeadline"`
	// ReadTimeout limits the time that reading a request may take.
	ReadTimeout Duration `json:"readTimeout"`
	// DrainTimeout limits the time of a graceful shutdown.
	DrainTimeout Duration `json:"drainTimeout"`
	// DrainNotice is how long an entry that shuts down still accepts requests while its health
	// check fails, so that the load balancer stops sending requests before they are refused.
	DrainNotice Duration `json:"drainNotice"`
	// WriteBudget is the number of transactions per second that all entries together may commit at
	// the table service.
	WriteBudget float64 `json:"writeBudget"`
}

// DefaultEntryLimits returns the limits for a settings file that gives none.
func DefaultEntryLimits() EntryLimits {
	return EntryLimits{
		MaxBody: 8 << 20, MaxTasks: 140, MaxPayload: 1 << 20, MaxConnections: 4096, MaxWaiting: 8192,
		DefaultDeadline: Duration(10 * time.Second), MaxDeadline: Duration(5 * time.Minute),
		ReadTimeout: Duration(10 * time.Second), DrainTimeout: Duration(30 * time.Second),
		DrainNotice: Duration(2 * time.Second),
		WriteBudget: 250,
	}
}

// Agent holds the settings of an agent, the process beside a backend server.
type Agent struct {
	ID         string            `json:"id"`
	Worker     string            `json:"worker"`
	Region     string            `json:"region"`
	DataCentre string            `json:"dataCentre"`
	Rack       string            `json:"rack"`
	Service    string            `json:"service"`
	Labels     map[string]string `json:"labels,omitempty"`
	// Listen is the IP:port for entries. Address is the address at which they reach it; Listen if
	// empty.
	Listen  string `json:"listen"`
	Address string `json:"address,omitempty"`
	// Backend is the IP:port of the backend server.
	Backend string `json:"backend"`
	// Entries are the addresses (IP:port) of the entries that the agent announces itself to first.
	Entries  []string `json:"entries"`
	Platform Platform `json:"platform"`
	TLS      *TLS     `json:"tls,omitempty"`
	Dev      bool     `json:"dev,omitempty"`
	Log      Log      `json:"log"`
	// Slots is the number of tasks that the backend server runs at the same time.
	Slots int `json:"slots"`
	// Connections limits the number of connections to the backend server; at least Slots.
	Connections int `json:"connections"`
	// Queue is the number of tasks that may wait for a slot.
	Queue int `json:"queue"`
	// ResultBytes limits the total size of the results that are retained for entries, in bytes.
	ResultBytes int `json:"resultBytes"`
	// Fanout is the number of entries that the agent announces itself to.
	Fanout int `json:"fanout"`
	// DrainTimeout limits the time of a graceful shutdown.
	DrainTimeout Duration `json:"drainTimeout"`
}

// DefaultAgent returns the settings for a file that gives none of the optional ones.
func DefaultAgent() Agent {
	return Agent{
		Slots: 8, Connections: 64, Queue: 8, ResultBytes: 32 << 20, Fanout: 4,
		DrainTimeout: Duration(30 * time.Second), Log: Log{Level: "info"},
		Platform: Platform{Timeout: Duration(2 * time.Second)},
	}
}

// LoadEntry reads and checks the settings file of an entry. The error is Problems if it is not
// valid.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseEntry(data)
}

// ParseEntry decodes and checks the settings of an entry, with defaults for optional values. The
// error is Problems if they are not valid.
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

// LoadAgent reads and checks the settings file of an agent. The error is Problems if it is not
// valid.
func LoadAgent(path string) (*Agent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseAgent(data)
}

// ParseAgent decodes and checks the settings of an agent, with defaults for optional values. The
// error is Problems if they are not valid.
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
	p.checkAddress("/listen", s.Listen, s.Dev)
	p.checkAddress("/peerListen", s.PeerListen, s.Dev)
	p.checkAddress("/peerAddress", s.PeerAddress, s.Dev)
	p.checkAddress("/platform/address", s.Platform.Address, false)
	if s.Listen == s.PeerListen && s.Listen != "" {
		p.add("/peerListen", s.PeerListen, "an address other than /listen")
	}
	p.checkTLS(s.TLS, s.Dev)
	l := s.Limits
	if l.MaxPayload > l.MaxBody {
		p.add("/limits/maxPayload", l.MaxPayload, fmt.Sprintf("at most /limits/maxBody, which is %d", l.MaxBody))
	}
	if l.DefaultDeadline > l.MaxDeadline {
		p.add("/limits/defaultDeadline", l.DefaultDeadline.Std(), fmt.Sprintf("at most /limits/maxDeadline, which is %v", l.MaxDeadline.Std()))
	}
	p.checkPositive("/limits/defaultDeadline", l.DefaultDeadline)
	p.checkPositive("/limits/maxDeadline", l.MaxDeadline)
	p.checkPositive("/limits/readTimeout", l.ReadTimeout)
	p.checkPositive("/limits/drainTimeout", l.DrainTimeout)
	p.checkPositive("/limits/drainNotice", l.DrainNotice)
	p.checkPositive("/platform/timeout", s.Platform.Timeout)
	if l.MaxTasks > l.MaxWaiting {
		p.add("/limits/maxTasks", l.MaxTasks, fmt.Sprintf("at most /limits/maxWaiting, which is %d", l.MaxWaiting))
	}
	return p
}

func (s *Agent) check() Problems {
	var p Problems
	p.checkAddress("/listen", s.Listen, s.Dev)
	p.checkAddress("/address", s.Address, s.Dev)
	p.checkAddress("/backend", s.Backend, false)
	p.checkAddress("/platform/address", s.Platform.Address, false)
	for i, entry := range s.Entries {
		p.checkAddress(fmt.Sprintf("/entries/%d", i), entry, false)
	}
	p.checkTLS(s.TLS, s.Dev)
	if s.Connections < s.Slots {
		p.add("/connections", s.Connections, fmt.Sprintf("at least /slots, which is %d", s.Slots))
	}
	p.checkPositive("/drainTimeout", s.DrainTimeout)
	p.checkPositive("/platform/timeout", s.Platform.Timeout)
	return p
}

// checkAddress checks an IP:port; with loopback it must be a loopback address. An empty value is no
// problem here, because the schema reports missing addresses.
func (p *Problems) checkAddress(path, value string, loopback bool) {
	parsed, err := netip.ParseAddrPort(value)
	switch {
	case value == "": // reported by the schema
	case err != nil:
		p.add(path, value, "an IP address and a port, such as 127.0.0.1:7000")
	case loopback && !parsed.Addr().IsLoopback():
		p.add(path, value, "a loopback address, since /dev is true")
	}
}

// checkPositive checks that a duration is greater than 0.
func (p *Problems) checkPositive(path string, d Duration) {
	if d <= 0 {
		p.add(path, d.Std(), "greater than 0s")
	}
}

// checkTLS checks that TLS is configured if and only if the development mode is off.
func (p *Problems) checkTLS(t *TLS, dev bool) {
	if t == nil && !dev {
		p.add("/tls", "absent", "required unless /dev is true")
	}
	if t != nil && dev {
		p.add("/tls", "present", "absent, since /dev is true")
	}
}
